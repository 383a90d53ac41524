"""Run elections: campaign, vote and step down."""

from baobabwharf_core.ids import Term, VmId
from baobabwharf_core.invariants import check_invariant

from baobabwharf_decisions.consensus import leader
from baobabwharf_decisions.consensus.messages import (
    HardState,
    TimeoutNow,
    VoteAnswer,
    VoteRequest,
)
from baobabwharf_decisions.consensus.replica import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    LEARNER,
    PRE_CANDIDATE,
    REMOVED,
    Replica,
    reset_election_deadline,
    send,
    send_now,
    set_hard_state,
    step_role,
    update_role_from_membership,
)


def campaign_when_due(replica: Replica) -> None:
    """Start a pre-vote once the election timeout has passed."""
    if replica.role in {LEARNER, REMOVED, LEADER} or not replica.is_voter:
        return
    if replica.now_ms < replica.election_deadline_ms:
        return
    step_role(replica, 'election_timeout')
    replica.leader_id = None
    replica.votes = {replica.vm_id}
    reset_election_deadline(replica)
    if replica.options.pre_vote:
        _request_votes(replica, pre=True)
        _count_votes(replica)
    else:
        _become_candidate(replica, 'pre_vote_won')


def on_vote_request(replica: Replica, request: VoteRequest) -> None:
    """Grant or refuse a vote or a pre-vote."""
    if _has_live_leader(replica) and not request.transfer:
        # A replica that still hears from its leader ignores the new term, so
        # a partitioned replica can't depose a live leader.
        _refuse(replica, request)
    elif request.pre:
        _answer_pre_vote(replica, request)
    else:
        _answer_vote(replica, request)


def on_vote_answer(replica: Replica, answer: VoteAnswer) -> None:
    """Count a vote that belongs to the current campaign."""
    if answer.term > replica.term and not (answer.pre and answer.granted):
        observe_term(replica, answer.term)
        return
    wanted = PRE_CANDIDATE if answer.pre else CANDIDATE
    expected = replica.term + 1 if answer.pre else replica.term
    if replica.role != wanted or answer.term != expected:
        return
    if answer.granted:
        replica.votes.add(answer.sender)
        _count_votes(replica)


def on_timeout_now(replica: Replica, request: TimeoutNow) -> None:
    """Campaign at once because the leader transfers its leadership."""
    observe_term(replica, request.term)
    if request.term < replica.term or replica.role != FOLLOWER:
        return
    if replica.is_voter:
        _become_candidate(replica, 'transfer_requested')


def on_own_vote_synced(replica: Replica) -> None:
    """Count this replica's vote for itself once it is durable."""
    if (
        replica.role == CANDIDATE
        and replica.synced_sequence >= replica.sequence
    ):
        replica.votes.add(replica.vm_id)
        _count_votes(replica)


def observe_term(replica: Replica, term: Term) -> None:
    """Enter a higher term as a follower or learner; ignore others."""
    if term <= replica.term:
        return
    set_hard_state(replica, term, None)
    replica.leader_id = None
    step_down(replica, 'higher_term')


def step_down(replica: Replica, event: str) -> None:
    """Stop campaigning or leading."""
    if replica.role == REMOVED:
        return
    if replica.role == LEADER:
        leader.clear_leader_state(replica)
    if replica.role in {LEADER, CANDIDATE, PRE_CANDIDATE}:
        reset_election_deadline(replica)
    step_role(replica, event)
    update_role_from_membership(replica)


def _has_live_leader(replica: Replica) -> bool:
    if replica.role == LEADER:
        return True
    heard_ms = replica.leader_heard_ms
    if heard_ms is None or replica.leader_id is None:
        return False
    return replica.now_ms - heard_ms < replica.options.election_ms


def _log_is_up_to_date(replica: Replica, request: VoteRequest) -> bool:
    candidate_log = (request.last_term, request.last_index)
    return candidate_log >= (replica.log.last_term, replica.log.last_index)


def _refuse(replica: Replica, request: VoteRequest) -> None:
    answer = VoteAnswer(replica.vm_id, replica.term, False, request.pre)
    send(replica, request.sender, answer)


def _answer_pre_vote(replica: Replica, request: VoteRequest) -> None:
    granted = request.term > replica.term and _log_is_up_to_date(
        replica, request
    )
    if not granted:
        _refuse(replica, request)
        return
    answer = VoteAnswer(replica.vm_id, request.term, True, True)
    send_now(replica, request.sender, answer)


def _answer_vote(replica: Replica, request: VoteRequest) -> None:
    observe_term(replica, request.term)
    may_vote = replica.hard_state.voted_for in {None, request.sender}
    same_term = request.term == replica.term
    if not (may_vote and same_term and _log_is_up_to_date(replica, request)):
        _refuse(replica, request)
        return
    set_hard_state(replica, replica.term, request.sender)
    reset_election_deadline(replica)
    answer = VoteAnswer(replica.vm_id, replica.term, True, False)
    send(replica, request.sender, answer)


def _request_votes(
    replica: Replica, *, pre: bool, transfer: bool = False
) -> None:
    request = VoteRequest(
        replica.vm_id,
        Term(replica.term + 1) if pre else replica.term,
        replica.log.last_index,
        replica.log.last_term,
        pre,
        transfer,
    )
    for voter in _other_voters(replica):
        send(replica, voter, request)


def _other_voters(replica: Replica) -> list[VmId]:
    voters = replica.log.membership.voters
    return [voter for voter in voters if voter != replica.vm_id]


def _become_candidate(replica: Replica, event: str) -> None:
    step_role(replica, event)
    replica.votes = set()
    replica.leader_id = None
    set_hard_state(replica, Term(replica.term + 1), replica.vm_id)
    reset_election_deadline(replica)
    transfer = event == 'transfer_requested'
    _request_votes(replica, pre=False, transfer=transfer)


def _count_votes(replica: Replica) -> None:
    membership = replica.log.membership
    granted = replica.votes.intersection(membership.voters)
    if len(granted) < membership.majority:
        return
    if replica.role == PRE_CANDIDATE:
        _become_candidate(replica, 'pre_vote_won')
        return
    check_invariant(
        replica.hard_state == HardState(replica.term, replica.vm_id),
        'A replica wins an election without having voted for itself.',
    )
    step_role(replica, 'vote_won')
    leader.become_leader(replica)
