#pragma once

#include "app/cluster_join.h"
#include "app/control_log.h"
#include "app/operator_request_handler.h"
#include "app/session_server.h"

#include <set>
#include <utility>

namespace pw {

/// Connects the Raft member with the network, timers, storage and replicated state.
class ControlLog::Impl {
public:
    Impl(const Settings& settings, PeerNetwork& network, Timers& timers, std::uint64_t seed, EventLog& events,
        LogStorage& storage, DeploymentParser parser)
        : m_settings(settings)
        , m_network(network)
        , m_timers(timers)
        , m_events(events)
        , m_storage(storage)
        , m_parser(std::move(parser))
        , m_random(seed)
        , m_sessions(network, timers.now())
    {
    }

    ~Impl() { m_timers.cancel(m_tick); }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    bool start(std::string& reason);
    bool bootstrap(std::string& reason);
    void submit(decltype(OperatorForwardRequest::operation) what, OperatorRequestHandler::Done done);
    void readLatest(std::function<void(const ConfigurationRecord*)> done);
    void transferLeadership(std::function<void()> done);
    ControlStatus status() const;

    bool leading(TimePoint now) const { return m_raft && m_raft->leading(now); }
    std::uint64_t epoch() const { return m_raft ? m_raft->term() : 0; }
    PeerAddress leader() const { return m_raft ? m_raft->leaderAddress() : PeerAddress {}; }
    const FleetState& state() const { return m_state; }
    void onChanged(std::function<void(bool)> handler) { m_changed.push_back(std::move(handler)); }

private:
    /// A pending read of the newest configuration.
    struct PendingRead {
        TimePoint startedAt;
        std::function<void(const ConfigurationRecord*)> done;
    };

    void listen();
    bool openStorage();
    void retryStart();
    void reopenStorage();
    void tick();
    void processPending();
    void applyCommitted();
    void receiveRaft(const PeerAddress& from, const RaftMessage& message);
    void loadSnapshot();
    void applyEntry(const LogEntry& entry);
    ChangeResult applyChange(const LogEntry& entry);
    void submitDaemonChange(const PeerAddress& from, OperatorForwardRequest request);
    OperatorRequestHandler::Done prepareOrder(const std::string& changeId, SetEvacuation& order, OperatorRequestHandler::Done done);
    void compactIfDue();
    void sendMessages();
    void handleRoleChange();
    void completeLeadershipTransfer();
    void completeReads();
    ControlRole role() const;
    SessionServer::Completeness completeness() const;

    const Settings& m_settings;
    PeerNetwork& m_network;
    Timers& m_timers;
    EventLog& m_events;
    LogStorage& m_storage;
    DeploymentParser m_parser;
    Random m_random;

    std::unique_ptr<Raft> m_raft; ///< Null before start() and when the storage could not be opened.
    std::unique_ptr<ClusterJoin> m_join;
    std::unique_ptr<OperatorRequestHandler> m_operatorRequests;
    SessionServer m_sessions;
    FleetState m_state;
    std::string m_storageError; ///< Reason why the storage could not be opened.

    TimerId m_tick = 0;
    TimePoint m_nextReopen {};
    ControlRole m_role = ControlRole::Empty;
    bool m_removed = false;
    bool m_leading = false;
    bool m_processing = false;
    TimePoint m_transferDeadline {};
    std::vector<std::function<void()>> m_transferHandlers;
    std::map<std::string, std::uint64_t> m_acknowledgedOrders; ///< Revisions by failure domain, of orders answered here; may be ahead of m_state.
    std::set<std::pair<PeerAddress, std::uint64_t>> m_daemonChanges; ///< Sender and token of those in progress.
    std::vector<PendingRead> m_reads; ///< Oldest first.
    std::vector<std::function<void(bool)>> m_changed;
};

} // namespace pw
