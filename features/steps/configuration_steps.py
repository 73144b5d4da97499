"""Steps for changes of the configuration."""

from copy import deepcopy

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st

from jackdawspread.decisions.control.configuration_changes import apply_change
from jackdawspread.decisions.control.effective_limits import effective_limits
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.messages.add_key import AddKey
from jackdawspread.messages.configuration_change import ConfigurationChange
from jackdawspread.messages.create_workspace import CreateWorkspace
from jackdawspread.messages.select_preset import SelectPreset
from jackdawspread.messages.set_head_office import SetHeadOffice
from jackdawspread.messages.set_leaving import SetLeaving
from jackdawspread.messages.set_limits import SetLimits
from jackdawspread.messages.withdraw_key import WithdrawKey

NAMES = st.sampled_from(["branch", "other", ""])
NUMBERS = st.floats(allow_nan=True) | st.floats(0.1, 2000)
CHANGES = st.one_of(
    st.builds(CreateWorkspace, NAMES),
    st.builds(SetLimits, NAMES, st.fixed_dictionaries({"rate": NUMBERS})),
    st.builds(
        SetHeadOffice,
        st.fixed_dictionaries({"rate": NUMBERS}),
        st.fixed_dictionaries({}, optional={"rate": NUMBERS}),
        st.fixed_dictionaries({}, optional={"rate": NUMBERS}),
    ),
    st.builds(AddKey, NAMES, NAMES),
    st.builds(WithdrawKey, NAMES),
    st.builds(SelectPreset, st.sampled_from(["peak", "rush"])),
    st.builds(SetLeaving, NAMES, st.booleans()),
)


def apply(context: Context, change: ConfigurationChange) -> None:
    """Apply a change and keep the document if it was accepted."""
    context.outcome = apply_change(context.document, change)
    if context.outcome.is_ok():
        context.document = context.outcome.ok


@given('the initial configuration with a workspace "{name}"')
def start(context: Context, name: str) -> None:
    context.document = initial_configuration()
    apply(context, CreateWorkspace(name))


@when('the {limit} of "{name}" is set to {value}')
def set_limit(context: Context, limit: str, name: str, value: str) -> None:
    number = float(value)
    number = int(number) if limit == "burst" else number
    apply(context, SetLimits(name, {limit: number}))


@when("the head office's bounds of the rate become {lowest:d} to {highest:d}")
def set_bounds(context: Context, lowest: int, highest: int) -> None:
    apply(context, SetHeadOffice({}, {"rate": lowest}, {"rate": highest}))


@when('the preset "{name}" is selected')
def select(context: Context, name: str) -> None:
    apply(context, SelectPreset(name))


@then('the result of the change is "{outcome}"')
def change_result(context: Context, outcome: str) -> None:
    if outcome == "accepted":
        assert context.outcome.is_ok(), context.outcome
    else:
        assert context.outcome.is_error(), context.outcome
        assert outcome in context.outcome.error.detail, context.outcome
        assert context.outcome.error.ran == "not_run"


@then('the rate that applies to "{name}" is {rate:g}')
def effective_rate(context: Context, name: str, rate: float) -> None:
    assert context.outcome.is_ok(), context.outcome
    assert effective_limits(context.document, name)["rate"] == rate


@then('the burst that applies to "{name}" is the default')
def default_burst(context: Context, name: str) -> None:
    default = context.document["head_office"]["default"]["burst"]
    assert effective_limits(context.document, name)["burst"] == default


@then('the active preset is "{name}"')
def active_preset(context: Context, name: str) -> None:
    assert context.document["preset"] == name


@then("random changes never modify the document that they are based on")
def random_changes(context: Context) -> None:
    check_changes()


@seed(20251)
@settings(max_examples=200, deadline=None, database=None)
@given_values(st.lists(CHANGES, max_size=12))
def check_changes(changes: list[ConfigurationChange]) -> None:
    """Apply changes one after another and check each document."""
    document = initial_configuration()
    for change in changes:
        before = deepcopy(document)
        changed = apply_change(document, change)
        assert document == before, change
        document = changed.default_value(document)
        assert document["preset"] in document["preset_by_name"]
        for name in document["workspace_by_name"]:
            limits, rules = effective_limits(document, name), document["head_office"]
            assert rules["lowest"]["rate"] <= limits["rate"] <= rules["highest"]["rate"]
