"""Changes of the configuration of a PlatformWorld.

Each changes the document in place, for a caller of the first workspace at a database.
"""

from features.wire.platform_world import KEY


def change_route(configuration: dict, database: str, **fields: object) -> None:
    """Change fields of the route of a database."""
    configuration["Routes"] = [
        {**route, **fields} if route["Host"] == database else route
        for route in configuration["Routes"]
    ]


def pass_key(configuration: dict, database: str) -> None:
    """Give the key of the first workspace, and its rate, to the second one."""
    first, second = configuration["Tenants"]
    second["RatePerS"] = second["Burst"] = first["RatePerS"]
    first["ApiKeys"] = []
    second["ApiKeys"] = [*second["ApiKeys"], KEY]


def remove_key(configuration: dict, database: str) -> None:
    """Withdraw the only key of the first workspace."""
    configuration["Tenants"][0]["ApiKeys"] = []


def remove_route(configuration: dict, database: str) -> None:
    """Remove the route of the caller's database."""
    configuration["Routes"] = [
        route for route in configuration["Routes"] if route["Host"] != database
    ]


def move_route(configuration: dict, database: str) -> None:
    """Let the routes lead to a group that has no members."""
    configuration["Services"] = [{**configuration["Services"][0], "Name": "other"}]
    configuration["Routes"] = [
        {**route, "Service": "other"} for route in configuration["Routes"]
    ]


def remove_group(configuration: dict, database: str) -> None:
    """Remove the route, and its group from every other route and from the list."""
    remove_route(configuration, database)
    move_route(configuration, database)


def lower_rate(configuration: dict, database: str) -> None:
    """Lower the rate of the first workspace to one operation a second."""
    configuration["Tenants"][0].update(RatePerS=1, Burst=1)


def lower_connections(configuration: dict, database: str) -> None:
    """Lower the limit of the members' connections."""
    configuration["Services"][0]["MaxConns"] = 2


def add_key(configuration: dict, database: str) -> None:
    """Give the first workspace another key beside its own."""
    configuration["Tenants"][0]["ApiKeys"] = ["key-new", KEY]


def separate_regions(configuration: dict, database: str) -> None:
    """Allow the route one region and the first workspace another one."""
    configuration["Tenants"][0]["AllowedRegions"] = ["south"]
    change_route(configuration, database, AllowedRegions=["north"])


def set_public(configuration: dict, database: str, public: bool) -> None:
    """Serve a database with or without a key."""
    change_route(configuration, database, Public=public)


def wait_long(configuration: dict, database: str) -> None:
    """Let statements wait for a connection for 1.8 s, and transactions stay idle."""
    configuration["Limits"] = {"TxIdleMs": 20_000}
    change_route(configuration, database, TimeoutMs=4000, TargetLatencyMs=2000)


CHANGES = {
    "the removal of its route": remove_route,
    "the removal of its route and its group": remove_group,
    "another member group of its route": move_route,
    "a lower rate of its workspace": lower_rate,
    "a lower limit of its members' connections": lower_connections,
    "a second key of its workspace": add_key,
    "a region of its route and another region of its workspace": separate_regions,
    "a version without a change for it": lambda configuration, database: None,
}
