"""Run the behave suite and compare its failures with KNOWN-RED.txt."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

_KNOWN_RED_PATH = Path('KNOWN-RED.txt')
# Several runs may share a checkout.
_REPORT_PATH = Path('build') / f'test-report-{os.getpid()}.json'
_FAILED_STATUSES = frozenset(('failed', 'error', 'undefined', 'hook_error'))
_PASSED_STATUS = 'passed'


class ScenarioOutcomes(msgspec.Struct):
    """Count scenarios by their outcome."""

    passed: list[str]
    failed: list[str]
    other: list[str]


def read_known_red(path: Path) -> frozenset[str]:
    """Return the names of the scenarios that are listed as failing."""
    names = set()
    for line in path.read_text().splitlines():
        if line.strip() and not line.startswith('#'):
            names.add(line.split('|')[0].strip())
    return frozenset(names)


def run_behave(arguments: list[str]) -> int:
    """Run behave once and write its JSON report."""
    _REPORT_PATH.parent.mkdir(exist_ok=True)
    _REPORT_PATH.unlink(missing_ok=True)
    command = [
        sys.executable,
        '-m',
        'behave',
        # The first output file belongs to the first format; the second format
        # keeps standard output, which must not be opened again by name: that
        # would truncate a log file that it is redirected to.
        '--format=json',
        f'--outfile={_REPORT_PATH}',
        '--format=progress2',
        '--no-capture',
        *(arguments or ['features']),
    ]
    return subprocess.run(command, check=False).returncode


def classify(report: list[dict[str, Any]]) -> ScenarioOutcomes:
    """Sort the scenarios of a report by outcome."""
    outcomes = ScenarioOutcomes([], [], [])
    for feature in report:
        for element in feature.get('elements', ()):
            if element['type'] == 'background':
                continue
            name = f'{feature["location"].split(":")[0]}:{element["name"]}'
            _add_outcome(outcomes, name, str(element.get('status', 'untested')))
    return outcomes


def _add_outcome(outcomes: ScenarioOutcomes, name: str, status: str) -> None:
    if status == _PASSED_STATUS:
        outcomes.passed.append(name)
    elif status in _FAILED_STATUSES:
        outcomes.failed.append(name)
    else:
        outcomes.other.append(name)


def _report_unexpected(
    outcomes: ScenarioOutcomes, known: frozenset[str]
) -> list[str]:
    unexpected = [name for name in outcomes.failed if name not in known]
    for name in outcomes.failed:
        label = 'KNOWN RED' if name in known else 'FAILED'
        print(f'{label}: {name}')
    for name in outcomes.passed:
        if name in known:
            print(f'LISTED BUT PASSING: {name}')
            unexpected.append(name)
    for name in outcomes.other:
        print(f'DID NOT FINISH: {name}')
        unexpected.append(name)
    return unexpected


def main() -> int:
    """Run the suite; return 0 only if nothing unexpected happened."""
    exit_code = run_behave(sys.argv[1:])
    if not _REPORT_PATH.exists():
        print('behave wrote no report.')
        return 1
    outcomes = classify(json.loads(_REPORT_PATH.read_text()))
    _REPORT_PATH.unlink()
    unexpected = _report_unexpected(outcomes, read_known_red(_KNOWN_RED_PATH))
    crashed = exit_code != 0 and not outcomes.failed
    if crashed:
        print(f'behave ended with code {exit_code} without a failed scenario.')
    print(f'{len(outcomes.passed)} passed, {len(unexpected)} failed')
    return 1 if unexpected or crashed or not outcomes.passed else 0


if __name__ == '__main__':
    sys.exit(main())
