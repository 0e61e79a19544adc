"""Runs features and prints how many scenarios passed and failed."""

from __future__ import annotations

from pathlib import Path
import sys
from typing import Final

from behave.configuration import Configuration
from behave.model import ScenarioOutline
from behave.runner import Runner

FEATURES_FOLDER: Final = Path(__file__).parent
KNOWN_RED_FILE: Final = FEATURES_FOLDER.parent / "KNOWN-RED.txt"


def read_known_red(path: Path) -> set[str]:
    """Return the names of the scenarios that are known to fail.

    :param path: a file whose entries begin with `test: NAME`.
    :returns: the names; an empty set if there is no such file.
    """
    if not path.exists():
        return set()
    prefix = "test: "
    return {
        line.removeprefix(prefix).strip()
        for line in path.read_text().splitlines()
        if line.startswith(prefix)
    }


def list_scenarios(runner: Runner) -> list:
    """Return all scenarios of a run, with one for each outline example."""
    scenarios = []
    for feature in runner.features:
        for scenario in feature.scenarios:
            if isinstance(scenario, ScenarioOutline):
                scenarios += scenario.scenarios
            else:
                scenarios.append(scenario)
    return scenarios


def main(arguments: list[str]) -> int:
    """Run features and return the exit code.

    :param arguments: paths of feature files; all features if empty.
    :returns: 0 if a scenario passed and none failed, except for those that
        are known to fail; otherwise 1.
    """
    options = ["--no-logcapture", "--format", "progress3", "--no-summary"]
    paths = arguments or [str(FEATURES_FOLDER)]
    configuration = Configuration([*options, *paths])
    runner = Runner(configuration)
    runner.run()
    known_red = read_known_red(KNOWN_RED_FILE)
    passed = 0
    failed = 0
    for scenario in list_scenarios(runner):
        status = scenario.status.name
        if status == "passed":
            passed += 1
        elif status == "skipped":
            print(f"skipped: {scenario.name}")
        elif scenario.name.strip() in known_red:
            print(f"known red: {scenario.name}")
        else:
            failed += 1
            print(f"failed: {scenario.name} ({status})")
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
