"""One-line changes of the decisions that the comparisons have to detect."""

from spec.decision_mutation import DecisionMutation as M

MEMBER = "standins/member/"
PROMOTION, WRITES, SESSIONS, RATES = "promotions", "binding writes", "sessions", "rates"
COMMITS = "acknowledgements"
DECIDE = "decisions/acknowledgement/decide_acknowledgement.py"
RECEIVED = "decisions/acknowledgement/received_commit.py"

MUTATIONS = (
    M(
        PROMOTION,
        "decisions/owner/promotion.py",
        "if 2 * len(promises) <= len(state.members):",
        "if not promises:",
    ),
    M(
        PROMOTION,
        "decisions/owner/promotion.py",
        "        or event.term != state.promotion_term",
        "",
    ),
    M(PROMOTION, "decisions/owner/promotion.py", "if event.is_open:", "if True:"),
    M(
        PROMOTION,
        "decisions/owner/promotion_steps.py",
        "max(promises,",
        "min(promises,",
    ),
    M(
        PROMOTION,
        "decisions/owner/promotion_steps.py",
        "promised_position_by_member={},",
        "promised_position_by_member=state.promised_position_by_member,",
    ),
    M(
        PROMOTION,
        "decisions/owner/promotion_steps.py",
        "term, primary = state.promotion_term, state.chosen_member",
        "term, primary = state.promotion_term, state.primary",
    ),
    M(
        PROMOTION,
        "decisions/owner/owner_term.py",
        "// RANKS_PER_GENERATION + 1",
        "// RANKS_PER_GENERATION",
    ),
    M(
        PROMOTION,
        "decisions/owner/owner_term.py",
        "* RANKS_PER_GENERATION + rank",
        "* RANKS_PER_GENERATION",
    ),
    M(
        PROMOTION,
        MEMBER + "decide_prepare.py",
        "if request.term < state.promised:",
        "if request.term < state.term:",
    ),
    M(
        PROMOTION,
        MEMBER + "decide_prepare.py",
        "if request.term > state.term:",
        "if False:",
    ),
    M(
        PROMOTION,
        MEMBER + "decide_open.py",
        "if request.term != state.promised:",
        "if request.term < state.term:",
    ),
    M(
        PROMOTION,
        MEMBER + "decide_open.py",
        "if state.term == request.term:",
        "if False:",
    ),
    M(
        PROMOTION,
        MEMBER + "decide_follow.py",
        "check_term(state, request.term)",
        "check_term(state, state.promised)",
    ),
    M(
        PROMOTION,
        MEMBER + "decide_confirm.py",
        "relation is PositionRelation.CONTAINED",
        "relation is not PositionRelation.DIVERGED",
    ),
    M(
        PROMOTION,
        MEMBER + "decide_confirm.py",
        "and state.last_position.term == request.term",
        "",
    ),
    M(
        PROMOTION,
        MEMBER + "decide_confirm.py",
        "and state.promised <= request.term",
        "",
    ),
    M(PROMOTION, MEMBER + "decide_append.py", "del state.log[index:]", "pass"),
    M(
        PROMOTION,
        MEMBER + "decide_replicate.py",
        "if relation is PositionRelation.CONTAINED:",
        "if relation is not PositionRelation.DIVERGED:",
    ),
    M(
        PROMOTION,
        MEMBER + "check_term.py",
        "if term < state.promised:",
        "if term < state.term:",
    ),
    M(
        WRITES,
        MEMBER + "member_store.py",
        "if found is None:",
        "if True:",
    ),
    M(
        WRITES,
        MEMBER + "sql_engine.py",
        "self.commit(entry)",
        "self.commit(entry._replace(request_id=''))",
    ),
    M(
        WRITES,
        "decisions/owner/request_outcome.py",
        "may_have_run=True, first_term=first_term",
        "first_term=first_term",
    ),
    M(
        WRITES,
        "decisions/owner/request_outcome.py",
        "    if is_binding:",
        "    if is_binding and not outcome.is_replayed:",
    ),
    M(
        WRITES,
        "decisions/owner/request_outcome.py",
        "        may_have_run=True,",
        "        may_have_run=False,",
    ),
    M(
        WRITES,
        "decisions/owner/request_outcome.py",
        "ExecutionStatus.UNKNOWN if running.may_have_run else ExecutionStatus.NOT_RUN",
        "ExecutionStatus.NOT_RUN",
    ),
    M(
        WRITES,
        "decisions/owner/confirmation.py",
        "if at <= confirmed_position",
        "if at < confirmed_position",
    ),
    M(
        WRITES,
        "decisions/owner/confirmation.py",
        "if confirmed_position is None or not state.waiting_by_id:",
        "if confirmed_position is None:\n"
        "        confirmed_position = max(state.waiting_by_id.values())\n"
        "    if False:",
    ),
    M(
        WRITES,
        "decisions/owner/confirmation.py",
        "if term != state.term or",
        "if",
    ),
    M(
        SESSIONS,
        MEMBER + "check_position.py",
        "if own == requested:",
        "if own.sequence == requested.sequence:",
    ),
    M(
        SESSIONS,
        MEMBER + "check_position.py",
        "if requested.sequence <= len(log):",
        "if requested.sequence < len(log):",
    ),
    M(
        SESSIONS,
        MEMBER + "check_read.py",
        "if request.position is None:",
        "if True:",
    ),
    M(
        SESSIONS,
        MEMBER + "check_read.py",
        "if relation is PositionRelation.CONTAINED:",
        "if relation is not PositionRelation.DIVERGED:",
    ),
    M(
        SESSIONS,
        "decisions/owner/request_outcome.py",
        "None if confirmed_position is None else min(position, confirmed_position)",
        "position",
    ),
    M(
        SESSIONS,
        "decisions/owner/request_outcome.py",
        'if running.role == "replica" and position.term == running.term:',
        'if running.role == "replica":',
    ),
    M(
        RATES,
        "decisions/rates/rate_bucket.py",
        "max(0.0, share.burst - counted)",
        "share.burst",
    ),
    M(
        RATES,
        "decisions/rates/rate_bucket.py",
        "at, counted = max(at, expiry), counted - requests",
        "counted = counted - requests",
    ),
    M(
        RATES,
        "decisions/rates/rate_bucket.py",
        "share, counted, expiry - at)",
        "share, counted - requests, expiry - at)",
    ),
    M(
        RATES,
        "decisions/rates/rate_bucket.py",
        "bucket, taken = spend(bucket, requests)",
        "_, taken = spend(bucket, requests)",
    ),
    M(
        RATES,
        "decisions/rates/rate_bucket.py",
        "max(0.0, bucket.tokens - taken)",
        "max(1.0, bucket.tokens - taken)",
    ),
    M(
        RATES,
        "decisions/rates/rate_bucket.py",
        "tokens + share.rate *",
        "tokens + 2 * share.rate *",
    ),
    M(
        RATES,
        "decisions/rates/rate_limiter.py",
        "if event.spend_request_id != limiter.spend_request_id:",
        "if not limiter.spend_request_id:",
    ),
    M(
        RATES,
        "decisions/rates/rate_limiter.py",
        "event.requests if now < limiter.spend_request_deadline else 0",
        "event.requests",
    ),
    M(
        RATES,
        "decisions/rates/rate_limiter.py",
        'waiting=limiter.waiting[usable:], spend_request_id=""',
        "waiting=limiter.waiting[usable:]",
    ),
    M(
        RATES,
        "decisions/rates/rate_limiter.py",
        "event.requests, now + GRANT_LIFETIME_S",
        "event.requests, now + GRANT_LIFETIME_S / 2",
    ),
    M(
        RATES,
        "decisions/rates/rate_limiter.py",
        "spend(limiter.bucket, len(waiting))",
        "spend(limiter.bucket, len(waiting) + 1)",
    ),
    M(COMMITS, DECIDE, "if state.is_suspended:", "if False:"),
    M(COMMITS, DECIDE, "view.changed_at >= sent_at", "view.changed_at > sent_at"),
    M(COMMITS, DECIDE, " and bool(state.last_requested)", ""),
    M(COMMITS, DECIDE, "if not is_permitted or (", "if ("),
    M(COMMITS, DECIDE, "(listed | outstanding) - ", "listed - "),
    M(COMMITS, DECIDE, "(outstanding | {member})", "(outstanding)"),
    M(COMMITS, DECIDE, "if is_changed:", "if False:"),
    M(
        COMMITS,
        DECIDE,
        "return VerifyCommit(outstanding) if outstanding else AcknowledgeCommit()",
        "return AcknowledgeCommit()",
    ),
    M(COMMITS, RECEIVED, "not status.claims_primary", "True"),
    M(COMMITS, RECEIVED, "status.received.term == position.term", "True"),
    M(COMMITS, RECEIVED, "sequence >= position", "sequence + 1 >= position"),
    M(COMMITS, RECEIVED, "        status.claims_primary", "        True"),
    M(COMMITS, RECEIVED, "status.term == position.term", "True"),
)
