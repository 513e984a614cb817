"""Test the validation of settings."""

import json

import pytest

from hyssopvane._internal.exceptions import SettingsError
from hyssopvane._internal.models.settings import parse_settings

AGENT = {
    "role": "agent",
    "vm": "draft-1",
    "availability_zone": "arima",
    "platform": "127.0.0.1:2379",
    "vm_list": "127.0.0.1:2380",
    "token": "0123456789abcdef",
    "target": "127.0.0.1:8000",
    "service": "draft",
    "entries": "127.0.0.1:9000",
}


def test_parse_settings_accepts_minimum():
    settings = parse_settings(json.dumps(AGENT), source="test")
    assert settings.heartbeat_s == 0.5


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"token": "short"}, "token"),
        ({"platform": "example.org:1"}, "platform"),
        ({"heartbeat_s": 0}, "heartbeat_s"),
        ({"surprise": 1}, "surprise"),
        ({"role": "leader"}, "role"),
        ({"vm": "Upper Case"}, "vm"),
    ],
)
def test_parse_settings_names_bad_field(change, field):
    with pytest.raises(SettingsError) as error:
        parse_settings(json.dumps(AGENT | change), source="test")
    assert field in str(error.value)
    assert "hyssopvane check" in error.value.hint


def test_parse_settings_refuses_text_that_is_not_json():
    with pytest.raises(SettingsError) as error:
        parse_settings("{", source="test")
    assert "line 1" in error.value.context
