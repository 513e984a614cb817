"""Read the platform's list of live and leaving VMs."""

from enum import StrEnum

import httpcore
import trio
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from hyssopvane._internal.exceptions import VmListError
from hyssopvane._internal.utils.bounded_backend import (
    AnswerTooLarge,
    make_bounded_pool,
    read_body,
)

DEFAULT_TIMEOUT_S = 2.0

MAX_LIST_BYTES = 16 * 1024 * 1024
"""Largest list that is read: 200 bytes for each of 80,000 VMs."""


class VmRole(StrEnum):
    """Define the kinds of VM that the system runs on."""

    ENTRY = "entry"
    AGENT = "agent"


class VmState(StrEnum):
    """Define the states of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmRecord:
    """Describe one VM as the platform lists it; the list may lag behind the VM."""

    name: str
    address: str
    availability_zone: str
    role: VmRole
    service: str = ""
    """Service of the agent's target; empty for an entry."""
    state: VmState = VmState.LIVE


class VmListDocument(BaseModel):
    """Define the JSON document of the list."""

    model_config = ConfigDict(frozen=True)

    vms: tuple[VmRecord, ...]


_ADAPTER = TypeAdapter(VmListDocument)


async def fetch_vms(
    address: str, *, timeout_s: float = DEFAULT_TIMEOUT_S
) -> tuple[VmRecord, ...]:
    """Fetch the list from the service at "ip:port"; raise `VmListError`."""
    try:
        with trio.fail_after(timeout_s):
            async with make_bounded_pool() as pool:
                async with pool.stream("GET", f"http://{address}/v1/vms") as response:
                    content = await read_body(response, max_bytes=MAX_LIST_BYTES)
    except (
        trio.TooSlowError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        AnswerTooLarge,
    ) as error:
        raise VmListError(
            "the list of VMs can't be fetched",
            context=address,
            hint="the last list stays in use; check the platform's service",
        ) from error
    return parse_vms(content, source=address)


def parse_vms(content: bytes, *, source: str) -> tuple[VmRecord, ...]:
    """Parse the list from JSON; raise `VmListError` when it is malformed."""
    try:
        return _ADAPTER.validate_json(content).vms
    except ValidationError as error:
        raise VmListError(
            f"the list of VMs is malformed: {error.errors()[0]['msg']}",
            context=source,
            hint="the last list stays in use; check the platform's service",
        ) from error


def format_vms(vms: tuple[VmRecord, ...]) -> bytes:
    """Format the list as JSON."""
    return _ADAPTER.dump_json(VmListDocument(vms=vms))
