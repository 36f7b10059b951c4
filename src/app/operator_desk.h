#pragma once

#include "app/control_log.h"
#include "core/raft.h"
#include "core/session_message.h"

#include <map>

namespace pw {

/// Operators' requests at one control member: brings each to the leader, repeats it safely, and answers truthfully.
class OperatorDesk {
public:
    using Done = std::function<void(const ChangeResult&)>;

    OperatorDesk(PeerNetwork& network, Timers& timers, Raft& raft, DeploymentParser parser);

    /// Takes a request of an operator at this member. \p done is called once.
    void submit(decltype(OperatorAsk::what) what, Done done);

    /// Takes a request that another member forwards to this one as the leader.
    void handle(const PeerAddress& from, const OperatorAsk& ask);

    /// Takes the leader's answer to a forwarded request.
    void handle(const OperatorReply& reply);

    /// Answers what waited for the entry at \p index.
    void applied(const LogEntry& entry, const ChangeResult& result);

    /// Repeats, gives up and settles waits; to be called regularly and after every change of the log.
    void work();

private:
    /// A request at the member that the operator asked.
    struct Request {
        decltype(OperatorAsk::what) what;
        Done done;
        TimePoint deadline {};
        TimePoint nextTry {};
        bool sent = false; ///< May have reached the leader's log.
    };
    /// Where the answer of a request goes that the leader works on.
    struct Origin {
        PeerAddress address; ///< Empty: this member.
        std::uint64_t token = 0;

        auto operator<=>(const Origin&) const = default;
    };
    struct Proposal {
        Origin origin;
        std::uint64_t term = 0;
    };
    struct Wait {
        std::uint64_t index = 0;
        std::optional<TimePoint> appliedAt; ///< When this member first saw the index applied.
        TimePoint deadline {};
    };

    void attempt(std::uint64_t token, Request& request);
    void execute(const Origin& origin, const decltype(OperatorAsk::what)& what);
    void execute(const Origin& origin, const Change& change);
    void execute(const Origin& origin, const RemoveMember& order);
    void execute(const Origin& origin, const AwaitInForce& wait);
    bool isWorkedOn(const Origin& origin) const;
    void answer(const Origin& origin, const ChangeResult& result);
    void finish(std::uint64_t token, const ChangeResult& result);
    void followLeadership();
    void settleWaits();
    bool everyDaemonApplied(std::uint64_t index) const;
    std::optional<std::string> whyInvalid(const Change& change) const;

    PeerNetwork& m_network;
    Timers& m_timers;
    Raft& m_raft;
    DeploymentParser m_parser;
    std::uint64_t m_lastToken;
    std::map<std::uint64_t, Request> m_requests;
    std::map<std::uint64_t, Proposal> m_proposals; ///< By log index.
    std::map<Origin, Wait> m_waits;
    std::uint64_t m_term = 0;
    std::vector<ControlMemberRecord> m_members;
    TimePoint m_knowsAllFrom; ///< Leases given by members that this leader does not ask have lapsed by then.
};

} // namespace pw
