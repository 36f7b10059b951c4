#pragma once

#include "adapters/capnp_compat.h"
#include "adapters/libevent_util.h"

#include <kj/async-io.h>
#include <kj/async.h>

#include <cstring>

namespace pw {

/// Runs KJ's promises on a libevent loop.
class KjLibeventPort : public kj::EventPort {
public:
    explicit KjLibeventPort(event_base* base)
        : m_base(base)
    {
    }

    bool wait() override
    {
        event_base_loop(m_base, EVLOOP_ONCE);
        return false;
    }

    bool poll() override
    {
        event_base_loop(m_base, EVLOOP_NONBLOCK);
        return false;
    }

private:
    event_base* m_base;
};

/// A KJ stream over a connected bufferevent.
class KjBufferEventStream : public kj::AsyncIoStream {
public:
    explicit KjBufferEventStream(bufferevent* buffer)
        : m_buffer(buffer)
    {
        bufferevent_setcb(buffer, onReadable, nullptr, onEvent, this);
        bufferevent_enable(buffer, EV_READ | EV_WRITE);
    }

    kj::Promise<size_t> tryRead(void* target, size_t minBytes, size_t maxBytes) override
    {
        auto paf = kj::newPromiseAndFulfiller<size_t>();
        m_read = { target, minBytes, maxBytes, kj::mv(paf.fulfiller) };
        serve();
        return kj::mv(paf.promise);
    }

    kj::Promise<void> write(const void* source, size_t size) override
    {
        bufferevent_write(m_buffer.get(), source, size);
        return kj::READY_NOW;
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        for (auto piece : pieces) {
            bufferevent_write(m_buffer.get(), piece.begin(), piece.size());
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
    void shutdownWrite() override { }

private:
    struct PendingRead {
        void* target = nullptr;
        size_t minBytes = 0;
        size_t maxBytes = 0;
        kj::Own<kj::PromiseFulfiller<size_t>> fulfiller;
    };

    static void onReadable(bufferevent*, void* argument) { static_cast<KjBufferEventStream*>(argument)->serve(); }

    static void onEvent(bufferevent*, short what, void* argument)
    {
        auto* stream = static_cast<KjBufferEventStream*>(argument);
        stream->m_ended = stream->m_ended || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR));
        stream->serve();
    }

    void serve()
    {
        auto* input = bufferevent_get_input(m_buffer.get());
        auto available = evbuffer_get_length(input);
        if (!m_read.target || (available < m_read.minBytes && !m_ended)) {
            return;
        }
        auto taken = evbuffer_remove(input, m_read.target, m_read.maxBytes);
        m_read.target = nullptr;
        m_read.fulfiller->fulfill(static_cast<size_t>(taken));
    }

    detail::BufferEventPtr m_buffer;
    PendingRead m_read;
    bool m_ended = false;
};

} // namespace pw
