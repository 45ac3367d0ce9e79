"""Soft state: records with an age, replicated without consensus.

Nothing here is persisted. If the whole fleet stops, the state is lost, and
instances rebuild it from what they observe.
"""

from collections.abc import Callable, Mapping

from cactusmux_base import events
from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers
from cactusmux_platform import targets

from . import demand_tree
from . import encodings
from . import leaving_targets
from . import members as members_lib
from . import membership
from . import payloads
from . import published
from . import publisher
from . import records
from . import report_index
from . import zone_demand

# Demand that the root of a zone has not refreshed for longer is ignored.
MAX_DEMAND_AGE_S = 30.0
MAX_FAR_DEMAND_AGE_S = 60.0

AgedReport = report_index.AgedReport
DemandKey = payloads.DemandKey


class SoftState:
    """Publishes local observations and reads those of other instances."""

    def __init__(
        self,
        view: membership.Membership,
        timer: timers.TimerService,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._view = view
        self._timer = timer
        self._metrics = metrics
        self.demand_tree = demand_tree.DemandTree(view, timer)
        self._reports = report_index.ReportIndex()
        self._leaving = leaving_targets.LeavingTargets(timer)
        self._own_origin = records.origin_of(view.own.instance_id)
        self._revision_by_service: dict[str, int] = {}
        self._on_leaving: Callable[[], None] = lambda: None
        self._unannounced_leaving: set[str] = set()
        self._pruned_for_view: tuple[members_lib.Member, ...] = ()
        self.table = records.RecordTable(self._own_origin, timer, self._apply)
        self._publisher = publisher.Publisher(self.table, timer)
        self._zone_demand = zone_demand.ZoneDemand(self._publisher, timer)

    def publish_report(self, report: targets.TargetReport) -> None:
        """Publishes the report of a polled target in the region."""
        name, level = report_index.payloads_of(report)
        key = publisher.Key(payloads.Tag.DETAIL, report.address)
        self._publisher.write_level(
            key, name, level, report_index.has_load_changed
        )
        if report.leaving:
            self.mark_target_leaving(report.address)

    def withdraw_report(self, address: str) -> None:
        """Removes the published report of a target that does not answer."""
        key = publisher.Key(payloads.Tag.DETAIL, address)
        self._publisher.remove(key)

    def report_by_address(self) -> dict[str, AgedReport]:
        """Returns the newest report of each target in the region.

        Reports older than ``report_index.MAX_REPORT_AGE_S`` are left out.
        """
        return self._reports.by_address(self._timer.now())

    def mark_target_leaving(self, address: str) -> None:
        """Publishes in the region that a target takes no new requests."""
        self.record_leaving({address: 0.0})
        key = publisher.Key(payloads.Tag.LEAVING, address)
        payload = payloads.encode(payloads.Tag.LEAVING, address.encode())
        self._publisher.write(key, payload)

    def leaving_targets(self) -> frozenset[str]:
        """Returns the addresses of targets that are leaving."""
        return frozenset(self._leaving.ages())

    def record_leaving(self, age_s_by_address: Mapping[str, float]) -> None:
        """Records leaving targets from any source, by age in seconds.

        Targets not known before are announced to peers.
        """
        now = self._timer.now()
        for address, age_s in age_s_by_address.items():
            if self._leaving.add(address, now - age_s):
                self._unannounced_leaving.add(address)
                events.info('target_leaving', target=address)
        if self._unannounced_leaving:
            self._on_leaving()

    def on_leaving(self, callback: Callable[[], None]) -> None:
        """Sets a callback for leaving targets that are to be announced."""
        self._on_leaving = callback

    def take_unannounced_leaving(self) -> dict[str, float]:
        """Returns and clears the unannounced leaving targets.

        Keys are addresses, values are ages in seconds.
        """
        age_s_by_address = {
            address: age_s
            for address, age_s in self._leaving.ages().items()
            if address in self._unannounced_leaving
        }
        self._unannounced_leaving.clear()
        return age_s_by_address

    def publish_demand(
        self, rate_by_organisation: Mapping[DemandKey, float]
    ) -> None:
        """Replaces the rates of this instance, in requests per second."""
        self.demand_tree.set_own_rates(rate_by_organisation)

    def demand(self) -> dict[str, dict[DemandKey, float]]:
        """Returns requests per second by zone, then by organisation.

        Rates are at most ``MAX_DEMAND_AGE_S`` old within the region, and
        ``MAX_FAR_DEMAND_AGE_S`` elsewhere. Zones without published demand
        are absent.
        """
        newest_by_zone: dict[str, published.Demand] = {}
        for member in self._view.live():
            demand = self._demand_of(member)
            known = newest_by_zone.get(member.zone)
            if not demand.rate_by_key:
                continue
            if known is None or demand.stamp > known.stamp:
                newest_by_zone[member.zone] = demand
        return {
            zone: demand.rate_by_key for zone, demand in newest_by_zone.items()
        }

    def publish_revisions(
        self, revision_by_service: Mapping[str, int]
    ) -> None:
        """Publishes the document revisions in force, to all regions."""
        for service, revision in revision_by_service.items():
            if revision <= self._revision_by_service.get(service, 0):
                continue
            self._revision_by_service[service] = revision
            self._publisher.write(
                publisher.Key(payloads.Tag.REVISION, service),
                payloads.encode_revision(service, revision),
            )

    def members(self) -> tuple[members_lib.Member, ...]:
        """Returns the live members with their published revisions."""
        return tuple(
            member._replace(revision_by_service=self._revisions_of(member))
            for member in self._view.live()
        )

    def revision_by_service(self) -> dict[str, int]:
        """Returns the highest revision of each service at a live member."""
        highest: dict[str, int] = {}
        for member in self._view.live():
            for service, revision in self._revisions_of(member).items():
                highest[service] = max(revision, highest.get(service, 0))
        return highest

    def tick(self) -> None:
        """Publishes zone demand if this is the root; drops old records."""
        self._withdraw_expired_leaving()
        if self.demand_tree.parent() is not None:
            self._zone_demand.withdraw()
        elif self._zone_demand.is_due():
            self._zone_demand.publish(self.demand_tree.named_subtree_rates())
        live = self._view.live()
        if live is self._pruned_for_view:
            return
        self._pruned_for_view = live
        known = frozenset(
            records.origin_of(member.instance_id) for member in live
        )
        self.table.retain_only(known)
        self._reports.retain_only(known)

    def _withdraw_expired_leaving(self) -> None:
        leaving = self._leaving.ages()
        for key in self._publisher.keys(payloads.Tag.LEAVING):
            if key.name not in leaving:
                self._publisher.remove(key)

    def _apply(self, origin: int, slot: int, record: records.Record) -> None:
        """Updates indexes for a changed record; counts malformed ones."""
        try:
            self._apply_checked(origin, slot, record)
        except ValueError:
            self._metrics.count('peers.record.malformed')

    def _apply_checked(
        self, origin: int, slot: int, record: records.Record
    ) -> None:
        if not record.payload:
            raise encodings.MalformedError('record has no tag')
        tag, body = record.payload[0], record.payload[1:]
        if tag in payloads.TOMBSTONE_TAGS:
            self._reports.remove(origin, slot)
        elif tag == payloads.Tag.DETAIL:
            self._reports.put_detail(origin, slot, body)
        elif tag == payloads.Tag.LOAD:
            self._reports.put_load(origin, slot, body, record.stamp)
        elif tag == payloads.Tag.LEAVING and origin != self._own_origin:
            age_s = self._timer.now() - record.stamp
            self.record_leaving({body.decode(): age_s})

    def _records_of(
        self, member: members_lib.Member
    ) -> Mapping[int, records.Record]:
        return self.table.records_of(records.origin_of(member.instance_id))

    def _revisions_of(self, member: members_lib.Member) -> dict[str, int]:
        return published.revisions(self._records_of(member))

    def _demand_of(self, member: members_lib.Member) -> published.Demand:
        is_same_region = member.region == self._view.own.region
        max_age_s = (
            MAX_DEMAND_AGE_S if is_same_region else MAX_FAR_DEMAND_AGE_S
        )
        oldest = self._timer.now() - max_age_s
        return published.demand(self._records_of(member), oldest)
