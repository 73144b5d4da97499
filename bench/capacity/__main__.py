"""Slopes: ``python -m bench.capacity NAME ...``, without a name all."""

import sys

from bench.capacity.measure_configuration import measure_configuration
from bench.capacity.measure_connections import measure_connections
from bench.capacity.measure_copies import measure_copies
from bench.capacity.measure_databases import measure_databases
from bench.capacity.measure_groups import measure_groups
from bench.capacity.measure_promotions import measure_promotions
from bench.capacity.measure_statements import measure_statements
from bench.capacity.measure_wire import measure_wire
from bench.experiments.write_results import RESULTS, format_table
from bench.runs.run_until_signal import run_until_signal, show_line

MEASURE_BY_NAME = {
    "groups": measure_groups,
    "databases": measure_databases,
    "configuration": measure_configuration,
    "connections": measure_connections,
    "copies": measure_copies,
    "statements": measure_statements,
    "promotions": measure_promotions,
    "wire": measure_wire,
}
EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run the named measurements and return the exit status."""
    unknown = [name for name in arguments if name not in MEASURE_BY_NAME]
    if unknown:
        show_line(f"no such measurement: {', '.join(unknown)}")
        show_line(f"measurements: {', '.join(MEASURE_BY_NAME)}")
        return EXIT_USAGE
    for name in arguments or MEASURE_BY_NAME:
        show_line(f"== {name}")
        ended = run_until_signal(MEASURE_BY_NAME[name])
        if ended.is_error():
            return ended.error
        table = format_table(ended.ok)
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / f"capacity-{name}.txt").write_text(table, encoding="utf-8")
        show_line(table)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
