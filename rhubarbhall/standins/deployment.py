"""A whole deployment in one process on one event loop: log, targets and daemons.

Tests and the demo use it to add VMs and to stop them without warning.
"""

from __future__ import annotations

from dataclasses import dataclass

from rhubarbhall.adapters.driver import Daemon
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.records import IntentRecord, make_envelope
from rhubarbhall.core.timing import Timing
from rhubarbhall.settings import DaemonSettings, split_address
from rhubarbhall.standins.log import LogService
from rhubarbhall.standins.target import Execution, TargetOptions, TargetService

HOST = "127.0.0.1"
DEMO_MESH_KEY = b"a-key-for-the-demo-only"
#: Distance between the first ports of neighbouring VMs; each VM uses three.
_PORTS_PER_VM = 10


@dataclass(frozen=True, slots=True)
class VmLocation:
    """Location of a VM and labels of its target.

    Parameters
    ----------
    region : str
        Region of the VM.
    domain : str
        Failure domain of the VM.
    labels : dict of str to str
        Labels of the target; the deployment adds the label "vm".
    """

    region: str
    domain: str
    labels: dict[str, str]


@dataclass(slots=True)
class Vm:
    """One VM: a target and its local daemon.

    Parameters
    ----------
    name : str
        Name of the VM within the deployment.
    location : VmLocation
        Location of the VM and labels of the target.
    daemon : Daemon
        The daemon.
    target : TargetService
        The target.
    """

    name: str
    location: VmLocation
    daemon: Daemon
    target: TargetService

    @property
    def calls(self) -> str:
        """Address of the daemon for callers."""
        return self.daemon.settings.calls

    @property
    def peers(self) -> str:
        """Address of the daemon for its peers and for operators."""
        return self.daemon.settings.peers


class Deployment:
    """Builds a small deployment and stops parts of it.

    Parameters
    ----------
    loop : Loop
        Event loop that all components run on.
    base_port : int
        Port of the log on loopback; the VMs use the ports above it, ten for each.
    options : TargetOptions, optional
        Size and speed of each target.
    timing : Timing, optional
        Durations of the protocol between the daemons.

    Attributes
    ----------
    log_address : str
        Address of the log.
    log : LogService
        The log.
    vm_by_name : dict of str to Vm
        The VMs that run.
    """

    def __init__(
        self,
        loop: Loop,
        base_port: int,
        options: TargetOptions | None = None,
        timing: Timing | None = None,
    ) -> None:
        self._loop = loop
        self._base_port = base_port
        self._options = options or TargetOptions()
        self._timing = timing or Timing()
        self.log_address = f"{HOST}:{base_port}"
        self.log = LogService(split_address(self.log_address))
        loop.add(self.log)
        self.vm_by_name: dict[str, Vm] = {}
        self._executions_of_stopped_vms: list[Execution] = []

    def add_vm(self, location: VmLocation) -> Vm:
        """Start a VM with a target and a daemon and return it."""
        number = len(self.vm_by_name) + 1
        name = f"vm{number}"
        port = self._base_port + _PORTS_PER_VM * number
        target_address = f"{HOST}:{port}"
        target = TargetService(split_address(target_address), self._options)
        self._loop.add(target)
        settings = DaemonSettings(
            calls=f"{HOST}:{port + 1}",
            peers=f"{HOST}:{port + 2}",
            log=self.log_address,
            target=target_address,
            region=location.region,
            domain=location.domain,
            mesh_key=DEMO_MESH_KEY,
            labels={**location.labels, "vm": name},
            boot=name,
            checks_grants=self._options.checks_grants,
            seed=number,
            timing=self._timing,
        )
        daemon = Daemon(settings)
        self._loop.add(daemon)
        daemon.begin()
        vm = Vm(name, location, daemon, target)
        self.vm_by_name[name] = vm
        return vm

    def crash_vm(self, name: str) -> Vm:
        """Stop a VM without warning, as in a crash, and return it."""
        vm = self.vm_by_name.pop(name)
        self._executions_of_stopped_vms += vm.target.executions
        vm.daemon.shut_down()
        vm.target.shut_down()
        return vm

    def publish(self, record_id: str, replaces: int, document: dict) -> None:
        """Append an intent to the log.

        Parameters
        ----------
        record_id : str
            Identifier of the record.
        replaces : int
            Version of the intent that this one replaces.
        document : dict
            Document of the intent.
        """
        self.log.store.append(
            make_envelope(record_id, IntentRecord(replaces, document))
        )

    def executions(self) -> list[Execution]:
        """Return what all targets ran, including those of stopped VMs."""
        executions = list(self._executions_of_stopped_vms)
        for vm in self.vm_by_name.values():
            executions += vm.target.executions
        return executions

    def is_intent_in_force(self, version: int) -> bool:
        """Return whether every daemon has the intent `version` or a later one."""
        return all(
            vm.daemon.node.context.directory.intent_version >= version
            for vm in self.vm_by_name.values()
        )

    def slices_by_vm(self, service: str) -> dict[str, int]:
        """Return the number of slices of a service that each daemon serves."""
        return {
            name: sum(ref.service == service for ref in vm.daemon.node.ownership.served)
            for name, vm in sorted(self.vm_by_name.items())
        }

    def shut_down(self) -> None:
        """Close all ports."""
        for name in list(self.vm_by_name):
            self.crash_vm(name)
        self.log.shut_down()
