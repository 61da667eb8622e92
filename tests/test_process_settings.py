"""Tests of a router process's settings: decoding of the platform's keys, and error messages."""

from __future__ import annotations

from pathlib import Path

import pytest

from dunlinloft.exceptions import SettingsError
from dunlinloft.quota_bounds import quota_bounds
from dunlinloft.settings import read_settings, split_host_port

MINIMAL = 'node_name = "n"\nip_address = "10.0.0.1"\ninternal_port_range = [7000, 7009]\n'


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    """Write a settings file with only the required keys."""
    path = tmp_path / "settings.toml"
    path.write_text(MINIMAL)
    return path


def test_platform_keys_are_decoded_and_unknown_keys_ignored(settings_file: Path) -> None:
    settings_file.write_text(
        f'seed_nodes = ["10.0.0.1:7003", "10.0.0.2"]\nlater = 1\n{MINIMAL}'
        "[timing_bounds]\nagain_s = 4.5\nquota_interval_s = 9\nquota_overshoot = 0.2\n"
    )
    settings = read_settings(str(settings_file))
    assert settings.path == str(settings_file)
    assert settings.timing_bounds.prefix_reuse_s == 4.5
    assert settings.seed_addresses() == ("10.0.0.1:7000", "10.0.0.2:7000")
    assert split_host_port(settings.control_address("10.0.0.9")) == ("10.0.0.9", 7000)
    bounds = quota_bounds(settings.timing_bounds)
    assert (bounds.window_s, bounds.overshoot, bounds.tolerance) == (9.0, 0.2, 0.0)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("node_name = 1", "Expected `str`, got `int` - at `$.node_name`"),
        (f"{MINIMAL}[timing_bounds]\nagain_s = 'x'", "got `str` - at `$.timing_bounds.again_s`"),
        ("node_name", "Expected '=' after a key in a key/value pair"),
    ],
    ids=["top level", "renamed key", "invalid TOML"],
)
def test_invalid_settings_are_rejected_with_file_and_key(
    text: str, expected: str, settings_file: Path
) -> None:
    settings_file.write_text(text)
    with pytest.raises(SettingsError) as caught:
        read_settings(str(settings_file))
    assert str(caught.value).startswith(f"{settings_file}: ")
    assert expected in str(caught.value)


def test_missing_settings_file_is_named_in_the_error(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"nowhere\.toml: No such file or directory"):
        read_settings(str(tmp_path / "nowhere.toml"))
