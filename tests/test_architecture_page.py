"""The README, architecture page and glossary refer only to files and modules that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md")
PATH_REFERENCE = re.compile(r"`((?:dunlinloft|lab|tests|docs|deploy)/[\w./-]*)`")
MODULE_REFERENCE = re.compile(r"`((?:dunlinloft|lab)(?:\.\w+)+)`")
PROGRAM_PACKAGES = (
    "cli",
    "controlplane",
    "coordination",
    "dataplane",
    "balancer",
    "fleet",
    "node",
    "transport",
)


def _is_defined(module: str) -> bool:
    """Whether a dotted name is a module or package, or a name that occurs in the source of one."""
    parts = module.split(".")
    for length in range(len(parts), 0, -1):
        path = ROOT.joinpath(*parts[:length])
        source = path.with_suffix(".py") if path.with_suffix(".py").is_file() else path / "__init__.py"
        if source.is_file():
            attributes = parts[length:]
            return all(re.search(rf"\b{name}\b", source.read_text(encoding="utf-8")) for name in attributes)
    return False


@pytest.mark.parametrize("page", PAGES)
def test_every_file_and_module_referenced_by_a_page_exists(page: str) -> None:
    text = (ROOT / page).read_text(encoding="utf-8")
    paths = PATH_REFERENCE.findall(text)
    modules = MODULE_REFERENCE.findall(text)
    assert paths or modules
    assert [path for path in paths if not (ROOT / path).exists()] == []
    assert [module for module in modules if not _is_defined(module)] == []


@pytest.mark.parametrize("package", PROGRAM_PACKAGES)
def test_the_architecture_page_lists_every_package(package: str) -> None:
    assert f"`dunlinloft/{package}/`" in (ROOT / "docs" / "ARCHITECTURE.md").read_text(encoding="utf-8")


@pytest.mark.parametrize(
    "name", ["dunlinloft.no_such_module", "dunlinloft.dataplane.no_such_name", "lab.none"]
)
def test_an_undefined_dotted_name_is_detected(name: str) -> None:
    assert not _is_defined(name)
