"""Search for messages that make a boundary fail."""

import hashlib
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from hypothesis import HealthCheck, given, settings, strategies
from hypothesis import seed as fixed_seed

from baobabwharf_testkit.fuzz.boundary import Boundary, Encoding
from baobabwharf_testkit.fuzz.spoiling import (
    decode_plain,
    encode_plain,
    paths,
    replace_at,
    spoiled,
    tokens,
)

_BATCH = 200
_MAX_EDITS = 4
_MAX_INSERTED = 40
_KEPT_DIGITS = 12


class Finding(msgspec.Struct, frozen=True):
    """Hold the smallest message found that makes a boundary fail."""

    boundary: str
    content: bytes
    reason: str


class _BoundaryFailure(Exception):
    """Carry a message out of the search of hypothesis."""

    def __init__(self, content: bytes, error: BaseException) -> None:
        super().__init__(repr(error))
        self.content = content


def check(boundary: Boundary, content: bytes) -> Finding | None:
    """Return a finding if the boundary fails on a message."""
    try:
        boundary.accept(content)
    except Exception as error:
        return Finding(boundary.name, content, repr(error)[:200])
    return None


def check_samples(boundary: Boundary) -> list[Finding]:
    """Return findings if a valid message is not accepted."""
    findings = []
    for sample in boundary.samples():
        finding = check(boundary, sample)
        if finding is None and not boundary.accept(sample):
            finding = Finding(boundary.name, sample, 'a valid message')
        if finding is not None:
            findings.append(finding)
    return findings


def check_each_field(boundary: Boundary) -> list[Finding]:
    """Spoil each field of the valid messages in each way."""
    if boundary.encoding is Encoding.BYTES:
        return []
    cases = (
        content
        for sample in boundary.samples()
        for content in spoiled(sample, boundary.encoding)
    )
    found = (check(boundary, content) for content in cases)
    return [finding for finding in found if finding is not None]


def search(boundary: Boundary, seed: int, examples: int) -> Finding | None:
    """Try random edits of valid messages; return a shrunk failing one."""

    @fixed_seed(seed)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
    )
    @given(_messages(boundary))
    def accept(content: bytes) -> None:
        try:
            boundary.accept(content)
        except Exception as error:
            raise _BoundaryFailure(content, error) from error

    try:
        accept()
    except _BoundaryFailure as failure:
        return Finding(boundary.name, failure.content, str(failure)[:200])
    return None


def run(
    boundaries: Sequence[Boundary], seconds: float, seed: int, kept: Path
) -> list[Finding]:
    """Search all boundaries in turn; keep what makes them fail."""
    findings = [
        finding
        for boundary in boundaries
        for finding in (*check_samples(boundary), *check_each_field(boundary))
    ]
    end = time.monotonic() + seconds
    batch = 0
    while time.monotonic() < end and not findings:
        for boundary in boundaries:
            finding = search(boundary, seed + batch, _BATCH)
            if finding is not None:
                findings.append(finding)
        batch += 1
    keep(findings, kept)
    return findings


def keep(findings: Iterable[Finding], folder: Path) -> None:
    """Store the failing messages, to be replayed as regression cases."""
    for finding in findings:
        digest = hashlib.sha256(finding.content).hexdigest()[:_KEPT_DIGITS]
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f'{finding.boundary}-{digest}'
        path.write_bytes(finding.content)


def replay(boundaries: Sequence[Boundary], folder: Path) -> list[Finding]:
    """Check the messages that once made a boundary fail."""
    found = [
        check(boundary, path.read_bytes())
        for boundary in boundaries
        for path in sorted(folder.glob(f'{boundary.name}-*'))
    ]
    return [finding for finding in found if finding is not None]


def _messages(boundary: Boundary) -> Any:
    samples = strategies.sampled_from(list(boundary.samples()))
    edited = strategies.builds(
        _edit,
        samples,
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2**16),
                strategies.integers(0, 2**16),
                strategies.binary(max_size=_MAX_INSERTED),
            ),
            min_size=1,
            max_size=_MAX_EDITS,
        ),
    )
    if boundary.encoding is Encoding.BYTES:
        return edited | strategies.binary()
    structured = strategies.builds(
        _spoil,
        strategies.just(boundary.encoding),
        samples,
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2**16),
                strategies.integers(0, 2**16),
            ),
            min_size=1,
            max_size=_MAX_EDITS,
        ),
    )
    return structured | edited | strategies.binary()


def _edit(content: bytes, edits: list[tuple[int, int, bytes]]) -> bytes:
    """Replace some bytes at each of several places."""
    for place, length, inserted in edits:
        start = place % (len(content) + 1)
        end = start + length % (len(content) - start + 1) % _MAX_INSERTED
        content = content[:start] + inserted + content[end:]
    return content


def _spoil(
    encoding: Encoding, content: bytes, edits: list[tuple[int, int]]
) -> bytes:
    """Replace several fields by values that they may not hold."""
    all_tokens = tokens(encoding)
    document = decode_plain(content, encoding)
    for place, choice in edits:
        # Spoiled values have no paths below them.
        all_paths = list(paths(document))
        path = all_paths[place % len(all_paths)]
        token = msgspec.Raw(all_tokens[choice % len(all_tokens)])
        document = replace_at(document, path, token)
    return encode_plain(document, encoding)
