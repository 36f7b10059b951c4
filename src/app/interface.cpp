#include "app/interface.h"

#include "app/native_interface.h"

#include <algorithm>
#include <utility>

namespace pw {
namespace {

    using Registration = std::pair<std::string_view, InterfaceFactory>;

    std::vector<Registration>& registry()
    {
        static std::vector<Registration> registrations { { nativeInterfaceName, makeNativeInterface } };
        return registrations;
    }

} // namespace

void registerInterface(std::string_view name, InterfaceFactory factory)
{
    std::erase_if(registry(), [name](const Registration& it) { return it.first == name; });
    registry().emplace_back(name, std::move(factory));
}

std::vector<std::string_view> interfaceNames()
{
    std::vector<std::string_view> names;
    std::ranges::transform(registry(), std::back_inserter(names), &Registration::first);
    return names;
}

std::unique_ptr<Interface> makeInterface(std::string_view name)
{
    const auto it = std::ranges::find(registry(), name, &Registration::first);
    return it == registry().end() ? nullptr : it->second();
}

} // namespace pw
