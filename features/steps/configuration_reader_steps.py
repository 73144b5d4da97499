"""Steps for the readers of the configuration and for copies of it."""

from zlib import compress

from behave import given, then, when
from behave.runner import Context
from features.wire.platform_world import initial_configuration
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st
from msgspec.json import encode as encode_json
from msgspec.msgpack import encode

from jackdawspread.codecs.configuration_copies import (
    configuration_revision,
    decode_changes,
    encode_changes,
)
from jackdawspread.decisions.store_reads.configuration_changes import (
    apply_changes,
    configuration_changes,
)
from jackdawspread.decisions.store_reads.digest_relay import next_receivers
from jackdawspread.decisions.store_reads.reader_role import (
    ReaderRole,
    readers_before,
    update_role,
)
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_revision import NO_REVISION
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.platform.configuration_rows import decode_configuration

SEED = 11
EXAMPLES = 200
# The instance's id is after those of the readers.
OWN = "z"
BYTES_PER_MBIT = 125_000


def _reader(number: int, mbit_per_s: float) -> ConfigurationDigest:
    return ConfigurationDigest(
        f"reader-{number}",
        "10.0.0.1:80",
        "z1",
        NO_REVISION,
        1,
        1,
        0.0,
        None,
        True,
        mbit_per_s * BYTES_PER_MBIT,
        0,
    )


@given("{count:d} readers with links of {links} Mbit/s beside an instance with {own:d}")
def readers(context: Context, count: int, links: str, own: int) -> None:
    """Keep the digests of the readers."""
    rates = [float(rate) for rate in links.split(",")][:count]
    context.readers = [_reader(number, rate) for number, rate in enumerate(rates)]
    context.before = readers_before(OWN, own * BYTES_PER_MBIT, context.readers)


@when("the instance {was} before and the store {answers} it")
def role_updated(context: Context, was: str, answers: str) -> None:
    """Update the role of the first instance that steps in."""
    context.role = update_role(
        ReaderRole(was == "reads"),
        context.before,
        len(context.readers),
        answers == "answers",
        rank=0,
        now=100.0,
    )


@when("the instance with rank {rank:d} has missed a reader for {ms:d} ms")
def missed(context: Context, rank: int, ms: int) -> None:
    """Update the role when the reader is missed, and later."""
    role = ReaderRole(False)
    for now in (100.0, 100.0 + ms / 1000):
        count = len(context.readers)
        role = update_role(role, context.before, count, True, rank, now)
    context.role = role


@then("the instance {reads} the store")
def reads_store(context: Context, reads: str) -> None:
    """Compare the role."""
    assert context.role.is_reader == (reads == "reads"), context.role


@given("{count:d} instances in a failure domain")
def domain(context: Context, count: int) -> None:
    """Name the instances."""
    context.instances = [f"i{number}" for number in range(count)]


@when("a digest of any of them is passed on")
def passed_on(context: Context) -> None:
    """Follow the digests of some origins."""
    context.hops_by_origin = {}
    context.most_receivers = 0
    for origin in context.instances[::7]:
        hops = {origin: [0]}
        waiting = [origin]
        while waiting:
            sender = waiting.pop(0)
            receivers = next_receivers(origin, sender, context.instances)
            context.most_receivers = max(context.most_receivers, len(receivers))
            for receiver in receivers:
                hops.setdefault(receiver, []).append(hops[sender][0] + 1)
                waiting.append(receiver)
        context.hops_by_origin[origin] = hops


@then("each of the others has received it once, after at most {most:d} hops")
def received_once(context: Context, most: int) -> None:
    """Check every instance for every origin."""
    for origin, hops in context.hops_by_origin.items():
        assert hops.keys() == set(context.instances), (origin, len(hops))
        assert all(len(each) == 1 and each[0] <= most for each in hops.values())


@then("no instance has sent it to more than {most:d} others")
def few_receivers(context: Context, most: int) -> None:
    """Compare the largest number of receivers."""
    assert context.most_receivers <= most, context.most_receivers


def _configuration(
    version: int, databases: list[str], keys: list[str]
) -> FleetConfiguration:
    document = initial_configuration()
    route = document["Routes"][0]
    document["Version"] = version
    document["Routes"] = [{**route, "Host": name} for name in databases]
    document["Tenants"][0]["ApiKeys"] = keys
    if len(keys) % 2:
        document["Tenants"][0]["AllowedRegions"] = ["north"]
    return decode_configuration(encode_json(document))


@then("any two configurations are equal after their changes were encoded and applied")
def equal_after(context: Context) -> None:
    """Draw two configurations, and turn one into the other."""
    names = st.lists(st.sampled_from("abcdefgh"), unique=True)
    configurations = st.builds(_configuration, st.integers(1, 99), names, names)

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_all(configurations, configurations)
    def check(old: FleetConfiguration, new: FleetConfiguration) -> None:
        changes = decode_changes(encode_changes(configuration_changes(old, new)))
        result = apply_changes(old, changes)
        assert result == new
        assert configuration_revision(result) == configuration_revision(new)

    check()


@when("a copy of {kind} is decoded")
def malformed(context: Context, kind: str) -> None:
    """Decode bytes that are not a copy."""
    old, new = (_configuration(version, ["a"], ["k"]) for version in (1, 2))
    encoded = encode_changes(configuration_changes(old, new))
    data = {
        "no bytes": b"",
        "random bytes": b"\x93\x01\xff\x00" * 9,
        "a truncated copy": encoded[:-5],
        "another type": compress(encode(["x"])),
        "endless zeros": compress(bytes(70 * 1024 * 1024)),
    }[kind]
    context.error = None
    try:
        decode_changes(data)
    except ValueError as error:
        context.error = error


@then("it is refused as unreadable")
def unreadable(context: Context) -> None:
    """Check that the decoder has raised the error that callers handle."""
    assert context.error is not None


@given("a configuration with {count:d} routes that gets one more")
def one_more(context: Context, count: int) -> None:
    """Encode the changes between the two."""
    databases = [f"database-{number}" for number in range(count + 1)]
    old = _configuration(1, databases[:-1], ["k"])
    new = _configuration(2, databases, ["k"])
    context.encoded = encode_changes(configuration_changes(old, new))


@then("the encoded changes have at most {most:d} bytes")
def small(context: Context, most: int) -> None:
    """Compare the length."""
    assert len(context.encoded) <= most, len(context.encoded)
