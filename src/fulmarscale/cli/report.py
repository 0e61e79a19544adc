"""The program `fulmar-report`, which reports on service levels."""

from __future__ import annotations

from collections import defaultdict
import html
from pathlib import Path
from typing import Final
from typing import NamedTuple

import click
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from fulmarscale.burn import burn_rate
from fulmarscale.burn import BURN_WINDOWS
from fulmarscale.burn import firing_alerts
from fulmarscale.burn import ObjectiveCount
from fulmarscale.cli._client import client_group
from fulmarscale.cli._client import EntryClient
from fulmarscale.cli._client import pass_client
from fulmarscale.cli._client import print_json
from fulmarscale.cli._client import print_table
from fulmarscale.cli._client import require_success
from fulmarscale.metrics import WINDOW_METRIC

# Dimensions of the plot, in pixels.
BAR_HEIGHT: Final = 18
BAR_GAP: Final = 6
LABEL_WIDTH: Final = 260
PLOT_WIDTH: Final = 460
VALUE_WIDTH: Final = 80

COLOURS: Final = ("#1b6ca8", "#4f9bd0", "#8fc1e3", "#c3dff0")
"""Colours of the bars, one for each window."""


class SeriesKey(NamedTuple):
    """The key of a line of the report."""

    customer: str
    """The customer."""
    data_centre: str
    """The data centre of the entries that sent the responses."""


class BurnLine(msgspec.Struct):
    """One line of the report, printed as JSON under the fields' names."""

    customer: str
    """The customer."""
    data_centre: str
    """The data centre of the entries that sent the responses."""
    promise: str
    """The service level that the contract promises, as text."""
    answers: dict[str, int]
    """Number of responses by window."""
    kept_share: dict[str, float | None]
    """Share of responses within the promise by window; none without any."""
    burn: dict[str, float]
    """Burn rates by window."""
    alerts: list[str]
    """Descriptions of the alert rules that are exceeded."""


@client_group
def main() -> None:
    """Report on a fulmarscale site."""


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--html",
    "html_path",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write an HTML page with a plot to this file.",
)
@pass_client
def burn(client: EntryClient, as_json: bool, html_path: Path | None) -> None:
    """Report service-level burn rates by customer and data centre."""
    lines = read_lines(client)
    if html_path is not None:
        html_path.write_text(render_page(lines))
        click.echo(f"wrote {html_path}", err=True)
    if as_json:
        print_json(lines)
    elif html_path is None:
        print_lines(lines)


def read_lines(client: EntryClient) -> list[BurnLine]:
    """Build the report's lines from the entries' contracts and metrics.

    Customers without a contract are left out.
    """
    contracts = {
        row["name"]: row["contract"]
        for row in require_success(
            client.send_as_operator("GET", "/v1/contracts")
        ).body["contracts"]
    }
    counts = sum_counts(client.read_metrics())
    lines = []
    for key in sorted(counts):
        contract = contracts.get(key.customer)
        if contract is not None:
            lines.append(make_line(key, counts[key], contract))
    return lines


def sum_counts(
    texts: list[str],
) -> dict[SeriesKey, dict[str, ObjectiveCount]]:
    """Sum the response counts of all entries by window.

    :param texts: the metrics of each entry.
    :returns: counts by key, then by the window's name.
    """
    counts: dict[SeriesKey, dict[str, ObjectiveCount]]
    counts = defaultdict(lambda: defaultdict(lambda: ObjectiveCount(0, 0)))
    for text in texts:
        for family in text_string_to_metric_families(text):
            if family.name != WINDOW_METRIC:
                continue
            for sample in family.samples:
                labels = sample.labels
                key = SeriesKey(labels["customer"], labels["data_centre"])
                old = counts[key][labels["window"]]
                number = int(sample.value)
                new = ObjectiveCount(old.met, old.missed + number)
                if labels["kept"] == "true":
                    new = ObjectiveCount(old.met + number, old.missed)
                counts[key][labels["window"]] = new
    return counts


def make_line(
    key: SeriesKey,
    counts: dict[str, ObjectiveCount],
    contract: dict[str, float],
) -> BurnLine:
    """Build one line of the report."""
    share = contract["response_share"]
    burns = {
        window.name: round(burn_rate(counts[window.name], share), 2)
        for window in BURN_WINDOWS
    }
    shares: dict[str, float | None] = {}
    for window in BURN_WINDOWS:
        count = counts[window.name]
        shares[window.name] = None
        if count.total:
            shares[window.name] = round(count.met / count.total, 4)
    return BurnLine(
        customer=key.customer,
        data_centre=key.data_centre,
        promise=f"{share:.2%} within {contract['response_time_ms']} ms",
        answers={w.name: counts[w.name].total for w in BURN_WINDOWS},
        kept_share=shares,
        burn=burns,
        alerts=[
            f"burn over {rule.threshold} in {rule.short_window}"
            f" and {rule.long_window}"
            for rule in firing_alerts(burns)
        ],
    )


def print_lines(lines: list[BurnLine]) -> None:
    """Print the report as text."""
    headings = ["customer", "data centre", "promise", "answers (6h)"]
    headings += [f"burn {window.name}" for window in BURN_WINDOWS]
    rows = [
        [
            line.customer,
            line.data_centre,
            line.promise,
            line.answers[BURN_WINDOWS[-1].name],
            *[f"{line.burn[window.name]:.2f}" for window in BURN_WINDOWS],
            "; ".join(line.alerts) or "none",
        ]
        for line in lines
    ]
    print_table([*headings, "alerts"], rows)


def render_page(lines: list[BurnLine]) -> str:
    """Render the report as an HTML page, with a bar for each window."""
    rows = "".join(_render_row(line) for line in lines)
    windows = "".join(f"<th>burn {w.name}</th>" for w in BURN_WINDOWS)
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>Service-level burn</title>
<style>
body {{ font: 15px sans-serif; margin: 2em; color: #222; }}
table {{ border-collapse: collapse; margin-top: 2em; }}
th, td {{ border-bottom: 1px solid #ccc; padding: .4em .9em;
  text-align: left; }}
.alert {{ color: #b00020; font-weight: bold; }}
</style></head><body>
<h1>Service-level burn</h1>
<p>A burn rate of 1 (the vertical line) uses up the error budget exactly.
One bar for each window: 5 minutes, 30 minutes, 1 hour, 6 hours.</p>
{_render_plot(lines)}
<table><tr><th>customer</th><th>data centre</th><th>promise</th>
<th>answers (6h)</th>{windows}<th>alerts</th></tr>{rows}</table>
</body></html>
"""


def _render_row(line: BurnLine) -> str:
    cells = [line.customer, line.data_centre, line.promise]
    cells.append(str(line.answers[BURN_WINDOWS[-1].name]))
    cells += [f"{line.burn[window.name]:.2f}" for window in BURN_WINDOWS]
    texts = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    alerts = html.escape("; ".join(line.alerts)) or "none"
    style = ' class="alert"' if line.alerts else ""
    return f"<tr>{texts}<td{style}>{alerts}</td></tr>"


def _render_plot(lines: list[BurnLine]) -> str:
    largest = max((max(line.burn.values()) for line in lines), default=0)
    scale = PLOT_WIDTH / max(2.0, largest)
    group_height = len(BURN_WINDOWS) * BAR_HEIGHT + 2 * BAR_GAP
    height = group_height * len(lines) + 2 * BAR_GAP
    width = LABEL_WIDTH + PLOT_WIDTH + VALUE_WIDTH
    parts = []
    for number, line in enumerate(lines):
        parts.append(_render_group(line, number * group_height, scale))
    budget = LABEL_WIDTH + scale
    return (
        f'<svg width="{width}" height="{height}" role="img"'
        f' font-family="sans-serif" font-size="13">{"".join(parts)}'
        f'<line x1="{budget:.1f}" x2="{budget:.1f}" y1="0" y2="{height}"'
        ' stroke="#b00020" stroke-dasharray="4 3"/></svg>'
    )


def _render_group(line: BurnLine, top: int, scale: float) -> str:
    label = html.escape(f"{line.customer}, {line.data_centre}")
    middle = top + BAR_GAP + len(BURN_WINDOWS) * BAR_HEIGHT / 2
    parts = [f'<text x="0" y="{middle:.0f}">{label}</text>']
    for position, window in enumerate(BURN_WINDOWS):
        rate = line.burn[window.name]
        y = top + BAR_GAP + position * BAR_HEIGHT
        width = max(1.0, rate * scale)
        text_y = y + BAR_HEIGHT - 6
        # Placed to the right of the line that marks a burn rate of 1.
        value_x = LABEL_WIDTH + max(width, scale) + 5
        parts.append(
            f'<text x="{LABEL_WIDTH - 8}" y="{text_y}"'
            f' text-anchor="end">{window.name}</text>'
            f'<rect x="{LABEL_WIDTH}" y="{y}" width="{width:.1f}"'
            f' height="{BAR_HEIGHT - 3}" fill="{COLOURS[position]}"/>'
            f'<text x="{value_x:.1f}" y="{text_y}">'
            f"{rate:.2f}</text>"
        )
    return "".join(parts)
