"""Runs the program on a disk with injected faults: `python -m rig.member FAULTS VERB...`.

`FAULTS` is the path of a JSON file of `rig.disks`, read again at each disk operation; the file may be missing.
"""

from __future__ import annotations

import sys

from oliveloft.cli import main as verbs
from oliveloft.fleet import member
from oliveloft.memory.files import Disk, SystemDisk
from rig.disks import DiskFaultsFile, FaultyDisk


def main(faults_path: str, arguments: list[str]) -> int:
    """Run a verb of the program on a disk with the faults of this file; return the exit status."""

    def open_faulty_disk(folder: str) -> Disk:
        return FaultyDisk(SystemDisk(folder), DiskFaultsFile(faults_path))

    member.open_disk = open_faulty_disk
    return verbs(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2:]))
