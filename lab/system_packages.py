"""Checks which Debian packages a clean build needs for its shared libraries.

Run as `python -m lab.system_packages check FOLDER --deploy deploy/system.toml`: each library that a file in
FOLDER needs has to belong to a listed package or one of its dependencies. `deploy/debian-packages.json` maps
packages to libraries; `record` regenerates that file from this machine's dpkg.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
from elftools.common.exceptions import ELFError
from elftools.elf.dynamic import DynamicSection
from elftools.elf.elffile import ELFFile

ROOT = Path(__file__).resolve().parent.parent
INDEX = ROOT / "deploy" / "debian-packages.json"
DEPLOY_FILES = (ROOT / "deploy" / "system.toml", ROOT / "deploy" / "balancer.toml")

_LIBRARY_NAME = re.compile(r"[^/]+\.so(\.[0-9]+)*$")
_DPKG_FIELDS = "${Package}|${Pre-Depends}, ${Depends}\n"


class Package(msgspec.Struct, frozen=True):
    """One Debian package: its dependencies and its shared libraries."""

    depends: tuple[str, ...]
    libraries: tuple[str, ...]


PackageIndex = Mapping[str, Package]


@dataclass(frozen=True, slots=True)
class MissingLibrary:
    """A library that no listed package provides, and a file that needs it."""

    library: str
    file: str


class UnknownPackageError(Exception):
    """A deploy file lists a package that is not in the index."""


def read_index(path: Path = INDEX) -> dict[str, Package]:
    """Read the index of packages. Raises `OSError` and `msgspec.DecodeError`."""
    return msgspec.json.decode(path.read_bytes(), type=dict[str, Package])


def listed_packages(deploy_file: Path) -> tuple[str, ...]:
    """Return the system packages that a deploy file lists."""
    return tuple(tomllib.loads(deploy_file.read_text(encoding="utf-8"))["packages"])


def closure(packages: Iterable[str], index: PackageIndex) -> set[str]:
    """Return packages with all their dependencies. Raises `UnknownPackageError`."""
    pending = list(packages)
    unknown = [name for name in pending if name not in index]
    if unknown:
        raise UnknownPackageError(f"not in {INDEX.name}: {', '.join(sorted(unknown))}")
    names: set[str] = set()
    while pending:
        name = pending.pop()
        if name not in names:
            names.add(name)
            pending.extend(entry for entry in index[name].depends if entry in index)
    return names


def needed_libraries(folder: Path) -> dict[str, str]:
    """Return the shared libraries that files in a folder need, each with one file that needs it."""
    needed: dict[str, str] = {}
    own: set[str] = set()
    for path in sorted(folder.rglob("*.so*")):
        if path.is_file():
            own.add(path.name)
            for library in _needed_by(path):
                needed.setdefault(library, str(path.relative_to(folder)))
    return {library: file for library, file in needed.items() if library not in own}


def _needed_by(path: Path) -> list[str]:
    """Return the libraries that a file needs; none if it is not an ELF file."""
    with path.open("rb") as stream:
        try:
            dynamic = ELFFile(stream).get_section_by_name(".dynamic")
        except ELFError:
            return []
        if not isinstance(dynamic, DynamicSection):
            return []
        return [tag.needed for tag in dynamic.iter_tags("DT_NEEDED")]


def missing_libraries(folder: Path, packages: Iterable[str], index: PackageIndex) -> list[MissingLibrary]:
    """Return the needed libraries that no listed package provides. Raises `UnknownPackageError`."""
    present = {library for name in closure(packages, index) for library in index[name].libraries}
    needed = needed_libraries(folder)
    return [
        MissingLibrary(library, file) for library, file in sorted(needed.items()) if library not in present
    ]


def record_index(packages: Iterable[str]) -> dict[str, Package]:
    """Return these packages and their dependencies, as installed on this machine."""
    listing = subprocess.run(
        ["dpkg-query", "-W", "-f", _DPKG_FIELDS], capture_output=True, text=True, check=True
    ).stdout
    depends = {}
    for line in listing.splitlines():
        name, _, relations = line.partition("|")
        depends[name] = relations
    index: dict[str, Package] = {}
    pending = sorted(packages)
    while pending:
        name = pending.pop()
        if name in index or name not in depends:
            continue
        index[name] = Package(_installed(depends[name], depends), _libraries_of(name))
        pending.extend(index[name].depends)
    return dict(sorted(index.items()))


def _installed(relations: str, installed: Mapping[str, str]) -> tuple[str, ...]:
    """Return the packages in a dependency list; of alternatives, the first that is installed."""
    names = []
    for relation in relations.split(","):
        alternatives = [re.split(r"[ :(]", entry.strip())[0] for entry in relation.split("|")]
        chosen = next((entry for entry in alternatives if entry in installed), None)
        if chosen is not None:
            names.append(chosen)
    return tuple(sorted(set(names)))


def _libraries_of(package: str) -> tuple[str, ...]:
    completed = subprocess.run(["dpkg-query", "-L", package], capture_output=True, text=True, check=True)
    names = {Path(line).name for line in completed.stdout.splitlines() if "/lib" in line}
    return tuple(sorted(name for name in names if _LIBRARY_NAME.fullmatch(name)))


def main(arguments: Sequence[str] | None = None) -> int:
    """Check a folder or record the index; returns 1 if a library is missing."""
    parser = argparse.ArgumentParser(prog="python -m lab.system_packages")
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser(
        "check", help="check that the listed packages provide the libraries that a folder needs"
    )
    check.add_argument("folder", type=Path)
    check.add_argument("--deploy", type=Path, default=DEPLOY_FILES[0], help="the deploy file with the list")
    commands.add_parser("record", help=f"write {INDEX.name} from this machine's dpkg")
    options = parser.parse_args(arguments)
    if options.command == "record":
        listed = {name for file in DEPLOY_FILES for name in listed_packages(file)}
        INDEX.write_bytes(msgspec.json.format(msgspec.json.encode(record_index(listed)), indent=1) + b"\n")
        return 0
    missing = missing_libraries(options.folder, listed_packages(options.deploy), read_index())
    for entry in missing:
        print(f"{entry.library}: needed by {entry.file}, in no listed package", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
