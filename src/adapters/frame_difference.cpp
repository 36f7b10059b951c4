#include "adapters/frame_difference.h"

#include "config.h"

#include <zstd.h>

namespace pw {

struct FrameDeltaCodec::Contexts {
    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> compressor { ZSTD_createCCtx(), &ZSTD_freeCCtx };
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> expander { ZSTD_createDCtx(), &ZSTD_freeDCtx };
};

FrameDeltaCodec::FrameDeltaCodec()
    : m_contexts(std::make_unique<Contexts>())
{
    ZSTD_CCtx_setParameter(m_contexts->compressor.get(), ZSTD_c_compressionLevel, config::deltaCompressionLevel);
    ZSTD_CCtx_setParameter(m_contexts->compressor.get(), ZSTD_c_checksumFlag, 1);
}

FrameDeltaCodec::~FrameDeltaCodec() = default;

std::optional<Bytes> FrameDeltaCodec::encode(std::span<const std::byte> message, std::span<const std::byte> before)
{
    auto* context = m_contexts->compressor.get();
    ZSTD_CCtx_refPrefix(context, before.data(), before.size());
    Bytes result(message.size());
    // Fails if the delta is larger than the message.
    const auto size = ZSTD_compress2(context, result.data(), result.size(), message.data(), message.size());
    if (ZSTD_isError(size)) {
        ZSTD_CCtx_reset(context, ZSTD_reset_session_only);
        return std::nullopt;
    }
    result.resize(size);
    return result;
}

std::optional<Bytes> FrameDeltaCodec::decode(std::span<const std::byte> delta, std::span<const std::byte> before)
{
    const auto size = ZSTD_getFrameContentSize(delta.data(), delta.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || !FrameHistory::accepts(size)) {
        return std::nullopt;
    }
    auto* context = m_contexts->expander.get();
    ZSTD_DCtx_refPrefix(context, before.data(), before.size());
    Bytes message(size);
    const auto written = ZSTD_decompressDCtx(context, message.data(), message.size(), delta.data(), delta.size());
    if (ZSTD_isError(written) || written != size) {
        ZSTD_DCtx_reset(context, ZSTD_reset_session_only);
        return std::nullopt;
    }
    return message;
}

bool FrameHistory::accepts(std::size_t bytes)
{
    return bytes <= config::maxDeltaMessageBytes;
}

void FrameHistory::note(std::span<const std::byte> message)
{
    if (accepts(message.size())) {
        m_last.assign(message.begin(), message.end());
    }
}

} // namespace pw
