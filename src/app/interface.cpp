#include "app/interface.h"

#include "app/native_interface.h"

#include <algorithm>
#include <utility>

namespace pw {
namespace {

    using Entry = std::pair<std::string_view, InterfaceFactory>;

    std::vector<Entry>& registry()
    {
        static std::vector<Entry> entries { { nativeInterfaceName, makeNativeInterface } };
        return entries;
    }

} // namespace

void registerInterface(std::string_view name, InterfaceFactory factory)
{
    std::erase_if(registry(), [name](const Entry& it) { return it.first == name; });
    registry().emplace_back(name, std::move(factory));
}

std::vector<std::string_view> interfaceNames()
{
    std::vector<std::string_view> names;
    std::ranges::transform(registry(), std::back_inserter(names), &Entry::first);
    return names;
}

std::unique_ptr<Interface> makeInterface(std::string_view name)
{
    const auto it = std::ranges::find(registry(), name, &Entry::first);
    return it == registry().end() ? nullptr : it->second();
}

} // namespace pw
