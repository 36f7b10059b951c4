#pragma once

#include "app/control_log.h"
#include "core/raft.h"
#include "core/session_message.h"

#include <map>

namespace pw {

/// Handles operators' requests at one control member. Executes them when this member is the leader and forwards them to
/// the leader otherwise, retries them until their deadline, and reports Unknown when a request may have been applied.
class OperatorRequestHandler {
public:
    using Done = std::function<void(const ChangeResult&)>;

    OperatorRequestHandler(PeerNetwork& network, Timers& timers, Raft& raft, DeploymentParser parser);

    /// Accepts a request that an operator sent to this member. \p done is called exactly once.
    void submit(decltype(OperatorForwardRequest::operation) what, Done done);

    /// Handles a request that another member forwarded to this one as the leader; ignored when this member doesn't lead.
    void handle(const PeerAddress& from, const OperatorForwardRequest& ask);

    /// Handles the leader's reply to a forwarded request.
    void handle(const OperatorForwardReply& reply);

    /// Replies to the request that proposed \p entry with the \p result of applying it.
    void onEntryApplied(const LogEntry& entry, const ChangeResult& result);

    /// Retries and expires requests, and completes waits. To be called periodically and after every change of the log.
    void processPending();

private:
    /// A request at the member that received it from the operator.
    struct Request {
        decltype(OperatorForwardRequest::operation) what;
        Done done;
        TimePoint deadline {};
        TimePoint nextAttempt {};
        bool sent = false; ///< Was proposed or forwarded, so it may be in the leader's log.
    };
    /// Where the leader sends the reply to a request.
    struct Origin {
        PeerAddress address; ///< Member that forwarded the request; empty: this member.
        std::uint64_t token = 0;

        auto operator<=>(const Origin&) const = default;
    };
    /// A request that this member proposed as the leader.
    struct Proposal {
        Origin origin;
        std::uint64_t term = 0;
    };
    /// A request that waits until every daemon applied a log index.
    struct InForceWait {
        std::uint64_t index = 0;
        std::optional<TimePoint> appliedAt; ///< When this member first observed that it had applied the index.
        TimePoint deadline {};
    };

    void attempt(std::uint64_t token, Request& request);
    void execute(const Origin& origin, const decltype(OperatorForwardRequest::operation)& what);
    void execute(const Origin& origin, const Change& change);
    void execute(const Origin& origin, const RemoveMember& removal);
    void execute(const Origin& origin, const AwaitInForce& wait);
    ChangeResult resultWithoutAnswer(const Request& request) const;
    bool isInProgress(const Origin& origin) const;
    void reply(const Origin& origin, const ChangeResult& result);
    void complete(std::uint64_t token, const ChangeResult& result);
    void updateLeadership();
    void completeWaits();
    bool everyDaemonApplied(std::uint64_t index) const;
    std::optional<std::string> validationError(const Change& change) const;

    PeerNetwork& m_network;
    Timers& m_timers;
    Raft& m_raft;
    DeploymentParser m_parser;
    std::uint64_t m_lastToken; ///< Token of the latest request; starts at the member's Raft identity.
    std::map<std::uint64_t, Request> m_requests;
    std::map<std::uint64_t, Proposal> m_proposals; ///< By log index.
    std::map<Origin, InForceWait> m_inForceWaits;
    std::uint64_t m_term = 0; ///< Raft term that m_proposals, m_inForceWaits and m_members belong to.
    std::vector<ControlMemberRecord> m_members; ///< Members at the latest call of updateLeadership().
    TimePoint m_unknownLeasesExpireAt; ///< Validity leases granted by members that this leader doesn't query have expired by then.
};

} // namespace pw
