#!/bin/sh
# The stand-ins of the scripts are plain Python without dependencies: building
# them only checks that they compile.  Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('checked', path)
PYTHON
