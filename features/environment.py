"""Shared fixtures for all features."""

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
    context: Context, entries: int, targets: int, data_centres: int
) -> Iterator[SiteDriver]:
    """Stand up a site of separate processes for one scenario."""
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        site = Site(entries, targets, data_centres, Path(folder))
        try:
            site.start()
            context.driver = SiteDriver(site)
            yield context.driver
            context.driver.close()
        finally:
            site.close()


def before_all(context: Context) -> None:
    """Keep the test client's own log lines out of the report."""
    logging.getLogger("httpx").setLevel(logging.WARNING)


@fixture
def scratch_folder(context: Context) -> Iterator[str]:
    """Make a folder for one scenario."""
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        context.folder = folder
        yield folder


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give every scenario a folder."""
    use_fixture(scratch_folder, context)


def before_tag(context: Context, tag: Tag) -> None:
    """Set up what a scenario's tag names.

    :param tag: `site.E.T.D` for a site of E entries, T targets and D
        data centres.
    """
    if not tag.startswith("site."):
        return
    entries, targets, data_centres = map(int, tag.split(".")[1:])
    use_fixture(running_site, context, entries, targets, data_centres)
