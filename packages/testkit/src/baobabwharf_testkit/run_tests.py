"""Run the behave suite and compare its failures with KNOWN-RED.txt."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

_KNOWN_RED = Path('KNOWN-RED.txt')
_REPORT = Path('build') / 'test-report.json'
_BAD = frozenset(('failed', 'error', 'undefined', 'hook_error'))
_GOOD = 'passed'


class Verdict(msgspec.Struct):
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
    _REPORT.parent.mkdir(exist_ok=True)
    _REPORT.unlink(missing_ok=True)
    command = [
        sys.executable,
        '-m',
        'behave',
        # The first output file belongs to the first format; the second format
        # keeps standard output, which must not be opened again by name: that
        # would truncate a log file that it is redirected to.
        '--format=json',
        f'--outfile={_REPORT}',
        '--format=progress2',
        '--no-capture',
        *(arguments or ['features']),
    ]
    return subprocess.run(command, check=False).returncode


def classify(report: list[dict[str, Any]]) -> Verdict:
    """Sort the scenarios of a report by outcome."""
    verdict = Verdict([], [], [])
    for feature in report:
        for element in feature.get('elements', ()):
            if element['type'] == 'background':
                continue
            name = f'{feature["location"].split(":")[0]}:{element["name"]}'
            _place(verdict, name, str(element.get('status', 'untested')))
    return verdict


def _place(verdict: Verdict, name: str, status: str) -> None:
    if status == _GOOD:
        verdict.passed.append(name)
    elif status in _BAD:
        verdict.failed.append(name)
    else:
        verdict.other.append(name)


def _report_known(verdict: Verdict, known: frozenset[str]) -> list[str]:
    unexpected = [name for name in verdict.failed if name not in known]
    for name in verdict.failed:
        label = 'KNOWN RED' if name in known else 'FAILED'
        print(f'{label}: {name}')
    for name in verdict.passed:
        if name in known:
            print(f'LISTED BUT PASSING: {name}')
            unexpected.append(name)
    for name in verdict.other:
        print(f'DID NOT FINISH: {name}')
        unexpected.append(name)
    return unexpected


def main() -> int:
    """Run the suite; return 0 only if nothing unexpected happened."""
    code = run_behave(sys.argv[1:])
    if not _REPORT.exists():
        print('behave wrote no report.')
        return 1
    verdict = classify(json.loads(_REPORT.read_text()))
    unexpected = _report_known(verdict, read_known_red(_KNOWN_RED))
    crashed = code != 0 and not verdict.failed
    if crashed:
        print(f'behave ended with code {code} without a failed scenario.')
    print(f'{len(verdict.passed)} passed, {len(unexpected)} failed')
    return 1 if unexpected or crashed or not verdict.passed else 0


if __name__ == '__main__':
    sys.exit(main())
