"""Actions of members and promoters.

A message is never stored: an action that receives one is enabled as long as it may
arrive, so loss, repetition, reordering, one-way partitions, and a crash or pause of its
sender are all covered.
"""

from collections.abc import Iterator
from itertools import combinations

from spec.promotion.member import Member
from spec.promotion.rules import Rules
from spec.promotion.state import State
from spec.promotion.term import Term

Steps = Iterator[tuple[str, State]]
MEMBERS = range(3)
FIRST_TERM = 1
EMPTY = Term((None, None, None), (), (), 0)


def with_member(state: State, index: int, member: Member) -> State:
    """Return the state with one member replaced."""
    members = state.members[:index] + (member,) + state.members[index + 1 :]
    return state._replace(members=members)


def with_term(state: State, number: int, term: Term) -> State:
    """Return the state with one term replaced."""
    index = number - FIRST_TERM
    return state._replace(
        terms=state.terms[:index] + (term,) + state.terms[index + 1 :]
    )


def numbered(state: State) -> Iterator[tuple[int, Term]]:
    """Return the terms with their numbers."""
    return iter(enumerate(state.terms, FIRST_TERM))


def refuses(member: Member, number: int, rules: Rules) -> bool:
    """Return whether a promise of the member forbids work in a term."""
    return rules.prepare_refuses_lower_terms and member.promised > number


def prepare(state: State, rules: Rules) -> Steps:
    """Promise a term and answer with the log's end."""
    for number, term in numbered(state):
        if number == FIRST_TERM or (term.opened and rules.open_once):
            continue
        for index in MEMBERS:
            member = state.members[index]
            if member.promised > number or term.answers[index]:
                continue
            end = (member.log[-1], len(member.log))
            answers = term.answers[:index] + (end,) + term.answers[index + 1 :]
            after = with_term(state, number, term._replace(answers=answers))
            promised = member._replace(promised=number)
            yield f"term={number} member={index}", with_member(after, index, promised)


def most_advanced_members(term: Term, rules: Rules) -> set[int]:
    """Return the members that the promoter may choose, over all majorities."""
    answered = [index for index in MEMBERS if term.answers[index]]
    chosen = set()
    for group in combinations(answered, rules.majority):
        greatest = max(term.answers[index] or (0, 0) for index in group)
        for index in group:
            if not rules.choose_most_advanced or term.answers[index] == greatest:
                chosen.add(index)
    return chosen


def open_term(state: State, rules: Rules) -> Steps:
    """Become primary, as chosen among a majority, and append the term's start.

    Choosing has no effect before ``open`` arrives, so both are one action.
    """
    for number, term in numbered(state):
        if term.opened and rules.open_once:
            continue
        for index in most_advanced_members(term, rules):
            member = state.members[index]
            if refuses(member, number, rules) or index in term.opened:
                continue
            log = member.log + (number,)
            opened = tuple(sorted({*term.opened, index}))
            answers = EMPTY.answers if rules.open_once else term.answers
            after = with_term(state, number, Term(answers, log, opened, 0))
            primary = Member(log, max(number, member.promised), number, True)
            yield f"term={number} member={index}", with_member(after, index, primary)


def follow(state: State, rules: Rules) -> Steps:
    """Follow the primary of a term."""
    for number, term in numbered(state):
        for index in MEMBERS:
            member = state.members[index]
            if not term.opened or index in term.opened:
                continue
            if refuses(member, number, rules) or member.term == number:
                continue
            after = Member(member.log, max(number, member.promised), number, False)
            yield f"term={number} member={index}", with_member(state, index, after)


def write(state: State, rules: Rules) -> Steps:
    """Append a client's write at a primary."""
    for index in MEMBERS:
        member = state.members[index]
        if not member.primary or refuses(member, member.term, rules):
            continue
        if len(member.log) >= rules.log_bound:
            continue
        term = state.terms[member.term - FIRST_TERM]
        log = member.log + (member.term,)
        after = with_term(state, member.term, term._replace(history=log))
        yield (
            f"term={member.term} member={index}",
            with_member(after, index, member._replace(log=log)),
        )


def replicate(state: State, rules: Rules) -> Steps:
    """Drop a diverged entry, or append the next one of the primary's log."""
    for index in MEMBERS:
        member = state.members[index]
        if member.primary or refuses(member, member.term, rules):
            continue
        history = state.terms[member.term - FIRST_TERM].history
        size = len(member.log)
        if member.log[-1:] == history[size - 1 : size]:
            log = history[: size + 1]
            if member.log != history[:size]:
                log = member.log + history[size : size + 1]
        elif rules.truncate_diverged_tail:
            log = member.log[:-1]
        else:
            log = member.log + history[size : size + 1]
        yield (
            f"term={member.term} member={index}",
            with_member(state, index, member._replace(log=log)),
        )


def held(member: Member, number: int, prefix: tuple[int, ...], rules: Rules) -> bool:
    """Return whether a member confirms a position in a term."""
    size = len(prefix)
    if rules.confirm_needs_position and member.log[size - 1 : size] != prefix[-1:]:
        return False
    if rules.confirm_needs_last_term and member.log[-1] != number:
        return False
    return not (rules.confirm_needs_no_newer_promise and member.promised > number)


def confirm(state: State, rules: Rules) -> Steps:
    """Acknowledge a position of a term's primary once a second member holds it."""
    for number, term in numbered(state):
        for index in MEMBERS:
            if index in term.opened:
                continue
            for size in range(len(term.history), 1, -1):
                prefix = term.history[:size]
                if held(state.members[index], number, prefix, rules):
                    yield (
                        f"term={number} member={index} position={size}",
                        with_acknowledged(state, number, prefix),
                    )


def with_acknowledged(state: State, number: int, prefix: tuple[int, ...]) -> State:
    """Record that a term's history is acknowledged up to a position."""
    size = len(prefix)
    replaced = any(
        newer > number and term.opened and term.history[:size] != prefix
        for newer, term in numbered(state)
    )
    term = state.terms[number - FIRST_TERM]
    term = term._replace(acknowledged=max(term.acknowledged, size))
    after = with_term(state, number, term)
    return after._replace(replaced=state.replaced or replaced)
