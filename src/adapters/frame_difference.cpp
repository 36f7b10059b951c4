#include "adapters/frame_difference.h"

#include "config.h"

#include <zstd.h>

namespace pw {

struct FrameDifference::Contexts {
    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> compressor { ZSTD_createCCtx(), &ZSTD_freeCCtx };
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> expander { ZSTD_createDCtx(), &ZSTD_freeDCtx };
};

FrameDifference::FrameDifference()
    : m_contexts(std::make_unique<Contexts>())
{
    ZSTD_CCtx_setParameter(m_contexts->compressor.get(), ZSTD_c_compressionLevel, config::frameCompressionLevel);
    ZSTD_CCtx_setParameter(m_contexts->compressor.get(), ZSTD_c_checksumFlag, 1);
}

FrameDifference::~FrameDifference() = default;

std::optional<Bytes> FrameDifference::make(std::span<const std::byte> message, std::span<const std::byte> before)
{
    auto* context = m_contexts->compressor.get();
    ZSTD_CCtx_refPrefix(context, before.data(), before.size());
    Bytes result(message.size());
    // Does not fit when there is nothing to save.
    const auto size = ZSTD_compress2(context, result.data(), result.size(), message.data(), message.size());
    if (ZSTD_isError(size)) {
        ZSTD_CCtx_reset(context, ZSTD_reset_session_only);
        return std::nullopt;
    }
    result.resize(size);
    return result;
}

std::optional<Bytes> FrameDifference::apply(std::span<const std::byte> difference, std::span<const std::byte> before)
{
    const auto size = ZSTD_getFrameContentSize(difference.data(), difference.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || !FrameHistory::holds(size)) {
        return std::nullopt;
    }
    auto* context = m_contexts->expander.get();
    ZSTD_DCtx_refPrefix(context, before.data(), before.size());
    Bytes message(size);
    const auto written = ZSTD_decompressDCtx(context, message.data(), message.size(), difference.data(), difference.size());
    if (ZSTD_isError(written) || written != size) {
        ZSTD_DCtx_reset(context, ZSTD_reset_session_only);
        return std::nullopt;
    }
    return message;
}

bool FrameHistory::holds(std::size_t bytes)
{
    return bytes <= config::maxFrameHistoryBytes;
}

void FrameHistory::note(std::span<const std::byte> message)
{
    if (holds(message.size())) {
        m_last.assign(message.begin(), message.end());
    }
}

} // namespace pw
