#include "adapters/compressed_text.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <memory>

#include <zstd.h>

namespace pw {
namespace {

    using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
    using Expander = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

    /// \returns the binary logarithm of a window size that covers both texts.
    int windowLogFor(std::size_t bytes)
    {
        const auto bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
        return std::clamp(static_cast<int>(std::bit_width(bytes)), bounds.lowerBound, bounds.upperBound);
    }

} // namespace

std::string compressText(std::string_view text, std::string_view base)
{
    const Compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(text.size() + base.size()));
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), frame.data(), frame.size(), text.data(), text.size());
    assert(!ZSTD_isError(size)); // The output buffer has the worst-case size.
    frame.resize(size);
    return frame;
}

std::optional<std::string> decompressText(std::string_view frame, std::string_view base, std::size_t limit)
{
    const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > limit) {
        return std::nullopt;
    }
    const Expander context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(size, '\0');
    const auto written = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), frame.data(), frame.size());
    return !ZSTD_isError(written) && written == size ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace pw
