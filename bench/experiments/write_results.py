"""Writes the results of an experiment."""

from functools import singledispatch
from pathlib import Path

from bench.experiments.fleet_experiment import FleetExperiment
from bench.experiments.relay_experiment import RelayExperiment
from bench.runs.summary import Row
from jackdawspread.codecs.untyped_json import encode_json

RESULTS = Path(__file__).resolve().parent.parent / "results"


def format_table(rows: list[Row]) -> str:
    """Return rows as a text table, one column for each variant."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[name, *(str(row.get(name, "")) for row in rows)] for name in names]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    )
    return "\n".join(line.rstrip() for line in lines) + "\n"


def write_results(
    experiment: FleetExperiment | RelayExperiment, rows: list[Row]
) -> None:
    """Write a text table, a JSON file with settings and rows, and a plot."""
    RESULTS.mkdir(exist_ok=True)
    base = RESULTS / experiment.name
    base.with_suffix(".txt").write_text(format_table(rows), encoding="utf-8")
    document = {
        "experiment": experiment.name,
        "seed": _seed(experiment),
        "settings": _plain(experiment),
        "rows": rows,
    }
    base.with_suffix(".json").write_bytes(encode_json(document) + b"\n")
    _plot(experiment, rows, base.with_suffix(".png"))


@singledispatch
def _seed(experiment: object) -> int:
    raise TypeError(f"no such experiment: {type(experiment).__name__}")


@_seed.register
def _(experiment: FleetExperiment) -> int:
    return experiment.load.seed


@_seed.register
def _(experiment: RelayExperiment) -> int:
    return experiment.seed


def _plain(value: object) -> object:
    """Return nested NamedTuples as objects, faults with the name of their type."""
    if hasattr(value, "_asdict"):
        fields = {name: _plain(item) for name, item in value._asdict().items()}
        return {"type": type(value).__name__, **fields}
    return [_plain(item) for item in value] if isinstance(value, tuple) else value


def _plot(
    experiment: FleetExperiment | RelayExperiment, rows: list[Row], path: Path
) -> None:
    try:
        import matplotlib
    except ImportError:
        return
    matplotlib.use("Agg")
    from matplotlib import pyplot

    size = (5, 1.5 + 0.3 * len(rows))
    figure, axes = pyplot.subplots(figsize=size, layout="constrained")
    lengths = [row[experiment.metric] for row in rows]
    bars = axes.barh([row["variant"] for row in rows], lengths)
    axes.bar_label(bars, padding=2)
    axes.margins(x=0.15)
    axes.invert_yaxis()
    axes.set_xlabel(experiment.metric)
    axes.set_title(experiment.name)
    figure.savefig(path)
    pyplot.close(figure)
