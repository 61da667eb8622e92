"""Which modules decide, that they are pure, and the README's own code."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "dunlinloft" / "balancer"
# What decides nothing: the contract, readers, the simulator's adapter, and mechanisms whose callers decide.
CONTRACT = {"interface.py", "parameters.py"}
ADAPTERS = {"settings.py", "wirehost.py"}
MECHANISMS = {"affinity.py", "averages.py", "subsetting.py", "token_bucket.py"}
DECISIONS = sorted(
    path.name
    for path in PACKAGE.glob("*.py")
    if path.name not in CONTRACT | ADAPTERS | MECHANISMS | {"__init__.py"}
)
PURE = sorted({*DECISIONS, *CONTRACT, *MECHANISMS})
PURE_IMPORTS = {
    "__future__", "collections", "collections.abc", "dataclasses", "enum", "math", "random", "typing",
}  # fmt: skip
IMPURE_BUILTINS = {"__import__", "breakpoint", "eval", "exec", "input", "open", "print"}


def tree(name: str) -> ast.Module:
    return ast.parse((PACKAGE / name).read_text())


def imported(module: ast.Module) -> set[str]:
    """The full names of the modules that a module imports, at whatever place in it."""
    names: set[str] = set()
    for node in ast.walk(module):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module is not None
            own = node.module == "dunlinloft.balancer"
            names |= {f"{node.module}.{alias.name}" for alias in node.names} if own else {node.module}
    return names


def test_the_policy_of_the_deploy_file_is_exactly_the_modules_that_decide() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == [f"dunlinloft/balancer/{name}" for name in DECISIONS]
    assert {"balancer.py", "delay_controller.py", "rotation.py", "outlier_ejection.py"} <= set(DECISIONS)


@pytest.mark.parametrize("name", PURE)
def test_decisions_do_no_io_read_no_clock_and_import_no_socket(name: str) -> None:
    adapters = {f"dunlinloft.balancer.{adapter.removesuffix('.py')}" for adapter in ADAPTERS}
    for module in imported(tree(name)):
        assert module in PURE_IMPORTS or module.startswith("dunlinloft.balancer."), module
        assert module not in adapters
    for node in ast.walk(tree(name)):
        if isinstance(node, ast.Name):
            assert node.id not in IMPURE_BUILTINS


@pytest.mark.parametrize("name", PURE)
def test_decisions_draw_from_no_random_source_but_seeded_ones(name: str) -> None:
    for node in ast.walk(tree(name)):
        if isinstance(node, ast.ImportFrom) and node.module == "random":
            assert [alias.name for alias in node.names] == ["Random"]
        elif (
            isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random"
        ):
            assert node.attr == "Random"
        elif isinstance(node, ast.Call) and ast.unparse(node.func) in ("Random", "random.Random"):
            assert len(node.args) == 1, "a source without a seed"


@pytest.mark.parametrize("name", DECISIONS)
def test_a_module_that_decides_keeps_its_columns(name: str) -> None:
    assert max(map(len, (PACKAGE / name).read_text().splitlines())) <= 110


def test_the_balancer_names_its_interface_at_the_top() -> None:
    assert "dunlinloft/balancer/interface.py" in (PACKAGE / "balancer.py").read_text().splitlines()[0]


def test_the_readme_quick_start_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(code.group(1), {})
