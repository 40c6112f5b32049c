"""The program on a disk that breaks on command: `python -m rig.member KNOBS VERB...`; `KNOBS` is a file of them."""

from __future__ import annotations

import sys

from oliveloft.cli import main as verbs
from oliveloft.fleet import member
from oliveloft.memory.files import Disk, PlainDisk
from rig.disks import Broken, DiskFaultsFile


def main(faults_path: str, arguments: list[str]) -> int:
    """Run a verb on a disk with these knobs; the exit status."""

    def broken(folder: str) -> Disk:
        return Broken(PlainDisk(folder), DiskFaultsFile(faults_path))

    member.open_disk = broken
    return verbs(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2:]))
