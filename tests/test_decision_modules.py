"""The list of decision modules, their purity, and the example code of the README."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "dunlinloft" / "balancer"
# Modules that make no decisions: the interface, the readers and the simulator's adapter, and algorithms and
# data structures whose callers decide.
INTERFACES = {"interface.py", "parameters.py"}
ADAPTERS = {"settings.py", "wirehost.py"}
MECHANISMS = {"affinity.py", "averages.py", "subsetting.py", "token_bucket.py"}
DECISIONS = sorted(
    path.name
    for path in PACKAGE.glob("*.py")
    if path.name not in INTERFACES | ADAPTERS | MECHANISMS | {"__init__.py"}
)
PURE = sorted({*DECISIONS, *INTERFACES, *MECHANISMS})
PURE_IMPORTS = {
    "__future__", "collections", "collections.abc", "dataclasses", "enum", "math", "random", "typing",
}  # fmt: skip
IMPURE_BUILTINS = {"__import__", "breakpoint", "eval", "exec", "input", "open", "print"}


def parse_module(name: str) -> ast.Module:
    return ast.parse((PACKAGE / name).read_text())


def imported_modules(module: ast.Module) -> set[str]:
    """Return the full names of the modules that a module imports, including imports inside functions."""
    names: set[str] = set()
    for node in ast.walk(module):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module is not None
            from_balancer = node.module == "dunlinloft.balancer"
            names |= (
                {f"{node.module}.{alias.name}" for alias in node.names} if from_balancer else {node.module}
            )
    return names


def test_policy_in_the_deploy_file_lists_exactly_the_decision_modules() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == [f"dunlinloft/balancer/{name}" for name in DECISIONS]
    assert {"balancer.py", "delay_controller.py", "rotation.py", "outlier_ejection.py"} <= set(DECISIONS)


@pytest.mark.parametrize("name", PURE)
def test_pure_modules_import_no_impure_module_and_use_no_impure_builtin(name: str) -> None:
    adapters = {f"dunlinloft.balancer.{adapter.removesuffix('.py')}" for adapter in ADAPTERS}
    for module in imported_modules(parse_module(name)):
        assert module in PURE_IMPORTS or module.startswith("dunlinloft.balancer."), module
        assert module not in adapters
    for node in ast.walk(parse_module(name)):
        if isinstance(node, ast.Name):
            assert node.id not in IMPURE_BUILTINS


@pytest.mark.parametrize("name", PURE)
def test_pure_modules_use_only_seeded_random_generators(name: str) -> None:
    for node in ast.walk(parse_module(name)):
        if isinstance(node, ast.ImportFrom) and node.module == "random":
            assert [alias.name for alias in node.names] == ["Random"]
        elif (
            isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random"
        ):
            assert node.attr == "Random"
        elif isinstance(node, ast.Call) and ast.unparse(node.func) in ("Random", "random.Random"):
            assert len(node.args) == 1, "a random generator without a seed"


@pytest.mark.parametrize("name", DECISIONS)
def test_decision_modules_have_short_lines(name: str) -> None:
    assert max(map(len, (PACKAGE / name).read_text().splitlines())) <= 110


def test_first_line_of_the_balancer_names_its_interface() -> None:
    assert "dunlinloft/balancer/interface.py" in (PACKAGE / "balancer.py").read_text().splitlines()[0]


def test_readme_quick_start_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(code.group(1), {})
