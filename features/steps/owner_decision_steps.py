"""Steps for decisions of the owner that need no task."""

from behave import then, when
from behave.runner import Context

from jackdawspread.decisions.owner.owner_term import next_promotion_term
from jackdawspread.decisions.owner.position_sample import PositionSample
from jackdawspread.decisions.owner.read_choice import max_data_age
from jackdawspread.decisions.owner.retry_budget import (
    RetryBudget,
    count_request,
    spend_retry,
)
from jackdawspread.decisions.owner.unlimited_retries import UnlimitedRetries
from jackdawspread.messages.position import Position


@when("the terms of 3 ranks in 3 generations are listed")
def list_terms(context: Context) -> None:
    """List every term that each rank can use."""
    context.terms = {}
    for generation in (1, 2, 3):
        for rank in (0, 1, 2):
            term, terms = next_promotion_term(generation, rank, 0), []
            while term is not None:
                terms.append(term)
                term = next_promotion_term(generation, rank, term)
            context.terms[generation, rank] = terms


@then("no two terms are equal and each is greater than those of lower generations")
def distinct_terms(context: Context) -> None:
    """Compare the terms of all ranks and generations."""
    everything = [term for terms in context.terms.values() for term in terms]
    assert len(everything) == len(set(everything)) == 3 * 3 * 256
    for (generation, _), terms in context.terms.items():
        assert {term // 1024 for term in terms} == {generation}


@when("the primary was at position 5 at time 10 and at position 6 at time 11")
def sample(context: Context) -> None:
    """Record two samples."""
    context.samples = [
        PositionSample(10.0, Position(1, 5)),
        PositionSample(11.0, Position(1, 6)),
    ]


@then("at time 12 a replica at position 5 is 2 s old and one at position 4 is unknown")
def ages(context: Context) -> None:
    """Check the ages."""
    assert max_data_age(context.samples, Position(1, 5), 12.0) == 2.0
    assert max_data_age(context.samples, Position(1, 4), 12.0) == float("inf")


@when("100 requests are counted and 30 retries are requested")
def request_retries(context: Context) -> None:
    """Use the budget of the ordinary preset."""
    budget, context.granted = RetryBudget(), 0
    for _ in range(100):
        budget = count_request(budget, 10)
    for _ in range(30):
        budget, is_granted = spend_retry(budget)
        context.granted += is_granted


@when("30 retries are requested without a budget")
def request_retries_without_budget(context: Context) -> None:
    """Use the baseline of the experiments."""
    rule, context.granted = count_request(UnlimitedRetries(), 10), 0
    for _ in range(30):
        rule, is_granted = spend_retry(rule)
        context.granted += is_granted


@then("{number:d} retries are granted")
def granted(context: Context, number: int) -> None:
    """Check the number of retries."""
    assert context.granted == number, context.granted
