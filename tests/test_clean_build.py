"""The deployment builds and the pip-installed command need only the packages that are listed for them."""

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
# Parts of the standard library that Debian ships in separate packages: python3-distutils, python3-lib2to3,
# python3-tk, idle, python3-venv.
SPLIT_OFF_MODULES = {"distutils", "lib2to3", "tkinter", "turtle", "idlelib", "ensurepip", "venv"}
BUILD_TIMEOUT_S = 600.0


def _clean_environment() -> dict[str, str]:
    """Return the environment without `PYTHON*` variables, which could add other libraries."""
    return {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}


def _copy_from_root(directory: Path, *names: str) -> None:
    for name in names:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, directory / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, directory / name)


@pytest.fixture(scope="module")
def built_libraries(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The directory of libraries that the build command of `deploy/system.toml` makes in a clean checkout."""
    directory = tmp_path_factory.mktemp("checkout")
    _copy_from_root(directory, "dunlinloft", "requirements-system.txt")
    build = tomllib.loads(SYSTEM_DEPLOY.read_text(encoding="utf-8"))["build"]
    environment = _clean_environment()
    subprocess.run(["sh", "-c", build], cwd=directory, env=environment, check=True, timeout=BUILD_TIMEOUT_S)
    return directory / "target" / "deps"


def test_the_listed_packages_provide_every_library_that_the_build_needs(built_libraries: Path) -> None:
    listed = system_packages.listed_packages(SYSTEM_DEPLOY)
    assert missing_libraries(built_libraries, listed, read_index()) == []
    assert system_packages.main(["check", str(built_libraries), "--deploy", str(SYSTEM_DEPLOY)]) == 0


def test_a_library_of_an_unlisted_package_is_reported_missing(built_libraries: Path) -> None:
    listed = [name for name in system_packages.listed_packages(SYSTEM_DEPLOY) if name != "libstdc++6"]
    missing = missing_libraries(built_libraries, listed, read_index())
    assert [each.library for each in missing] == ["libstdc++.so.6"]
    assert missing[0].file.endswith(".so")


def test_a_library_that_no_package_provides_is_reported_missing(
    built_libraries: Path, tmp_path: Path
) -> None:
    name = missing_libraries(built_libraries, ["ca-certificates"], read_index())[0].file
    altered_library = (built_libraries / name).read_bytes().replace(b"libc.so.6\0", b"libq.so.9\0")
    (tmp_path / "altered.so").write_bytes(altered_library)
    (tmp_path / "text.so").write_text("no library")
    missing = missing_libraries(tmp_path, system_packages.listed_packages(SYSTEM_DEPLOY), read_index())
    assert [(each.library, each.file) for each in missing] == [("libq.so.9", "altered.so")]


def test_an_unknown_package_is_rejected() -> None:
    with pytest.raises(UnknownPackageError, match="no-such-package"):
        system_packages.closure(["python3", "no-such-package"], read_index())


@pytest.mark.parametrize("deploy_file", DEPLOY_FILES, ids=lambda path: path.name)
def test_every_listed_package_is_in_the_index(deploy_file: Path) -> None:
    index = read_index()
    listed = system_packages.listed_packages(deploy_file)
    assert {"ca-certificates", "python3"} <= set(listed)
    assert "libc6" in system_packages.closure(listed, index)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_program_imports_no_module_that_debian_packages_separately(program: str) -> None:
    assert not {name.partition(".")[0] for name in imported(PROGRAMS[program])} & SPLIT_OFF_MODULES


# The command line installed with pip.


@pytest.fixture(scope="module")
def installed_bin(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The `bin` directory of a virtual environment after `pip install .[lab]`."""
    directory = tmp_path_factory.mktemp("install")
    checkout = directory / "checkout"
    checkout.mkdir()
    _copy_from_root(checkout, "dunlinloft", "lab", "pyproject.toml", "README.md")
    environment = _clean_environment()
    subprocess.run([sys.executable, "-m", "venv", str(directory / "venv")], env=environment, check=True)
    bin_directory = directory / "venv" / "bin"
    install = [str(bin_directory / "python"), "-m", "pip", "install", "-q", "--disable-pip-version-check"]
    subprocess.run(
        [*install, f"{checkout}[lab]"], cwd=directory, env=environment, check=True, timeout=BUILD_TIMEOUT_S
    )
    return bin_directory


def _command_paths(command: click.Command, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Yield the path of names of a command and of each of its subcommands."""
    yield path
    if isinstance(command, click.Group):
        for name, each in command.commands.items():
            yield from _command_paths(each, (*path, name))


def _run_command(installed_bin: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [str(installed_bin / "dunlinloft"), *arguments],
        cwd=installed_bin,
        env=_clean_environment(),
        capture_output=True,
        text=True,
        timeout=120.0,
    )


def test_every_installed_subcommand_prints_its_help(installed_bin: Path) -> None:
    for path in _command_paths(command_line):
        result = _run_command(installed_bin, *path, "--help")
        assert result.returncode == 0, (path, result.stderr)
        assert result.stdout.startswith("Usage: dunlinloft")


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
def test_a_short_run_of_the_installed_command_succeeds(
    installed_bin: Path, arguments: tuple[str, ...]
) -> None:
    result = _run_command(installed_bin, *arguments)
    assert result.returncode == 0, result.stdout + result.stderr


def test_the_checkouts_dunlin_script_ignores_the_callers_pythonpath(tmp_path: Path) -> None:
    """`./dunlin` neither imports modules from PYTHONPATH nor takes them for installed libraries."""
    script = (ROOT / "dunlin").read_text(encoding="utf-8")
    assert "unset PYTHONPATH" in script
    (tmp_path / "click").mkdir()
    (tmp_path / "click" / "__init__.py").write_text("raise SystemExit('the caller has its own click')")
    checkout = tmp_path / "checkout"
    checkout.mkdir()
    _copy_from_root(checkout, "dunlin", "pyproject.toml", "dunlinloft")
    virtual_environment = Path(sys.executable).parent.parent
    (checkout / ".venv-lab").symlink_to(virtual_environment)
    pyproject_checksum = subprocess.run(
        ["sh", "-c", "cksum < pyproject.toml"], cwd=ROOT, capture_output=True, text=True
    )
    assert (virtual_environment / "made-for").read_text().split() == pyproject_checksum.stdout.split()
    environment = {**_clean_environment(), "PYTHONPATH": str(tmp_path)}
    result = subprocess.run(
        ["sh", str(checkout / "dunlin"), "--help"], env=environment, capture_output=True, text=True
    )
    assert result.returncode == 0, result.stderr
