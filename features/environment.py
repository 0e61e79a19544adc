"""Behave hooks and the fixtures that all features share."""

from __future__ import annotations

import logging
from pathlib import Path
import tempfile
from typing import TYPE_CHECKING

from behave import fixture
from behave import use_fixture

from features.support.site_driver import SiteDriver
from standins.site import Site

if TYPE_CHECKING:
    from collections.abc import Iterator

    from behave.model import Scenario
    from behave.model import Tag
    from behave.runner import Context


@fixture
def running_site(
    context: Context,
    entries: int,
    targets: int,
    data_centres: int,
    *,
    with_tls: bool,
) -> Iterator[SiteDriver]:
    """Run a site of separate processes for one scenario."""
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        site = Site(
            entries, targets, data_centres, Path(folder), with_tls=with_tls
        )
        try:
            site.start()
            context.driver = SiteDriver(site)
            yield context.driver
            context.driver.close()
        finally:
            site.close()


def before_all(context: Context) -> None:
    """Exclude the request log of the HTTP client from the report."""
    logging.getLogger("httpx").setLevel(logging.WARNING)


@fixture
def scratch_folder(context: Context) -> Iterator[str]:
    """Create a temporary folder for one scenario."""
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        context.folder = folder
        yield folder


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create a temporary folder for the scenario."""
    use_fixture(scratch_folder, context)


def before_tag(context: Context, tag: Tag) -> None:
    """Start the site of processes that a scenario's tag requests.

    :param tag: `site.E.T.D` for a site of E entries, T targets and D
        data centres; `tls_site.E.T.D` for one with TLS.
    """
    kind, *sizes = tag.split(".")
    if kind not in ("site", "tls_site"):
        return
    with_tls = kind == "tls_site"
    use_fixture(running_site, context, *map(int, sizes), with_tls=with_tls)
