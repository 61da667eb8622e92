"""The deployments' builds, and the command as `pip install` leaves it, need nothing that isn't listed."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

import click
import pytest

from dunlinloft.cli.root import main as command_line
from lab import system_packages
from lab.startup_cost import PROGRAMS, imported
from lab.system_packages import DEPLOY_FILES, UnknownPackageError, missing_libraries, read_index

ROOT = Path(__file__).parent.parent
SYSTEM_DEPLOY = DEPLOY_FILES[0]
# Parts of the standard library that Debian has in packages of their own: python3-distutils, python3-lib2to3,
# python3-tk, idle, python3-venv.
SPLIT_OFF_MODULES = {"distutils", "lib2to3", "tkinter", "turtle", "idlelib", "ensurepip", "venv"}
BUILD_TIMEOUT_S = 600.0


def _clean_environment() -> dict[str, str]:
    """The environment without what would let Python find libraries elsewhere."""
    return {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}


def _copy(folder: Path, *names: str) -> None:
    for name in names:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, folder / name)


@pytest.fixture(scope="module")
def built(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The libraries that the build command of `deploy/system.toml` leaves in a clean checkout."""
    folder = tmp_path_factory.mktemp("checkout")
    _copy(folder, "dunlinloft", "requirements-system.txt")
    build = tomllib.loads(SYSTEM_DEPLOY.read_text(encoding="utf-8"))["build"]
    environment = _clean_environment()
    subprocess.run(["sh", "-c", build], cwd=folder, env=environment, check=True, timeout=BUILD_TIMEOUT_S)
    return folder / "target" / "deps"


def test_the_listed_packages_bring_every_library_that_the_build_needs(built: Path) -> None:
    listed = system_packages.listed_packages(SYSTEM_DEPLOY)
    assert missing_libraries(built, listed, read_index()) == []
    assert system_packages.main(["check", str(built), "--deploy", str(SYSTEM_DEPLOY)]) == 0


def test_a_package_that_is_not_listed_is_missed(built: Path) -> None:
    listed = [name for name in system_packages.listed_packages(SYSTEM_DEPLOY) if name != "libstdc++6"]
    missing = missing_libraries(built, listed, read_index())
    assert [each.library for each in missing] == ["libstdc++.so.6"]
    assert missing[0].file.endswith(".so")


def test_a_library_that_no_package_has_is_missed(built: Path, tmp_path: Path) -> None:
    name = missing_libraries(built, ["ca-certificates"], read_index())[0].file
    planted = (built / name).read_bytes().replace(b"libc.so.6\0", b"libq.so.9\0")
    (tmp_path / "planted.so").write_bytes(planted)
    (tmp_path / "text.so").write_text("no library")
    missing = missing_libraries(tmp_path, system_packages.listed_packages(SYSTEM_DEPLOY), read_index())
    assert [(each.library, each.file) for each in missing] == [("libq.so.9", "planted.so")]


def test_an_unknown_package_is_refused() -> None:
    with pytest.raises(UnknownPackageError, match="no-such-package"):
        system_packages.closure(["python3", "no-such-package"], read_index())


@pytest.mark.parametrize("deploy_file", DEPLOY_FILES, ids=lambda path: path.name)
def test_every_listed_package_is_in_the_index(deploy_file: Path) -> None:
    index = read_index()
    listed = system_packages.listed_packages(deploy_file)
    assert {"ca-certificates", "python3"} <= set(listed)
    assert "libc6" in system_packages.closure(listed, index)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_program_needs_no_part_of_the_standard_library_that_debian_splits_off(program: str) -> None:
    assert not {name.partition(".")[0] for name in imported(PROGRAMS[program])} & SPLIT_OFF_MODULES


# The command line as a new user installs it.


@pytest.fixture(scope="module")
def installed(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The folder of the commands in an environment with `pip install .[lab]`."""
    folder = tmp_path_factory.mktemp("install")
    checkout = folder / "checkout"
    checkout.mkdir()
    _copy(checkout, "dunlinloft", "lab", "pyproject.toml", "README.md")
    environment = _clean_environment()
    subprocess.run([sys.executable, "-m", "venv", str(folder / "venv")], env=environment, check=True)
    commands = folder / "venv" / "bin"
    install = [str(commands / "python"), "-m", "pip", "install", "-q", "--disable-pip-version-check"]
    subprocess.run(
        [*install, f"{checkout}[lab]"], cwd=folder, env=environment, check=True, timeout=BUILD_TIMEOUT_S
    )
    return commands


def _paths(command: click.Command, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """The names of a command and of all below it."""
    yield path
    if isinstance(command, click.Group):
        for name, each in command.commands.items():
            yield from _paths(each, (*path, name))


def _run(installed: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [str(installed / "dunlinloft"), *arguments],
        cwd=installed,
        env=_clean_environment(),
        capture_output=True,
        text=True,
        timeout=120.0,
    )


def test_every_subcommand_starts_where_it_is_installed(installed: Path) -> None:
    for path in _paths(command_line):
        done = _run(installed, *path, "--help")
        assert done.returncode == 0, (path, done.stderr)
        assert done.stdout.startswith("Usage: dunlinloft")


@pytest.mark.parametrize(
    "arguments",
    [
        ("world", "--seeds", "1"),
        ("world", "--seeds", "1", "--scope", "replicas"),
        ("explore", "ledger", "--states", "200", "--walk", "50"),
        ("lab", "list"),
    ],
    ids=lambda arguments: " ".join(arguments),
)
def test_a_cheap_run_works_where_it_is_installed(installed: Path, arguments: tuple[str, ...]) -> None:
    done = _run(installed, *arguments)
    assert done.returncode == 0, done.stdout + done.stderr


def test_the_checkouts_own_command_ignores_libraries_on_the_callers_path(tmp_path: Path) -> None:
    """`./dunlin`: what a PYTHONPATH holds is neither used nor taken for installed."""
    script = (ROOT / "dunlin").read_text(encoding="utf-8")
    assert "unset PYTHONPATH" in script
    (tmp_path / "click").mkdir()
    (tmp_path / "click" / "__init__.py").write_text("raise SystemExit('the caller has its own click')")
    checkout = tmp_path / "checkout"
    checkout.mkdir()
    _copy(checkout, "dunlin", "pyproject.toml", "dunlinloft")
    environments = Path(sys.executable).parent.parent
    (checkout / ".venv-lab").symlink_to(environments)
    made_for = subprocess.run(
        ["sh", "-c", "cksum < pyproject.toml"], cwd=ROOT, capture_output=True, text=True
    )
    assert (environments / "made-for").read_text().split() == made_for.stdout.split()
    environment = {**_clean_environment(), "PYTHONPATH": str(tmp_path)}
    done = subprocess.run(
        ["sh", str(checkout / "dunlin"), "--help"], env=environment, capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr
