"""Steps that check the replicated log with generated histories."""

from collections import Counter
from random import Random

from behave import then
from behave.runner import Context

from support.replication_model import ReplicationModel

STEPS = 600
# New terms are rare and replication is frequent, so that most histories contain both
# acknowledgements and promotions.
WEIGHT_BY_ACTION = {
    "prepare": 4,
    "open": 3,
    "follow": 4,
    "write": 4,
    "fetch": 6,
    "append_in_flight": 6,
    "acknowledge": 5,
}


def run_history(seed: int) -> ReplicationModel:
    """Run the history that a seed generates."""
    random = Random(seed)
    model = ReplicationModel()
    actions = random.choices(
        list(WEIGHT_BY_ACTION), list(WEIGHT_BY_ACTION.values()), k=STEPS
    )
    newest = 1
    for action in actions:
        if action == "prepare" and random.random() < 0.1:
            newest += 1
        term = max(1, newest - random.choice((0, 0, 0, 0, 1, 2)))
        getattr(model, action)(random.randrange(3), term)
    model.check_prefixes()
    return model


@then("in {count:d} generated histories no acknowledged entry is lost")
def no_loss(context: Context, count: int) -> None:
    """Run generated histories with the decisions of the members."""
    reached: Counter[str] = Counter()
    for seed in range(count):
        try:
            model = run_history(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        later = len(model.primary_by_term) > 1
        reached["acknowledged"] += bool(model.acknowledged)
        reached["both"] += bool(model.acknowledged) and later
        reached["truncated"] += model.truncations > 0
    print(f"histories={count} reached={dict(reached)}")
    # A history without both an acknowledgement and a later term checks little.
    assert reached["both"] > count / 2, reached
    assert reached["truncated"] > count / 20, reached
