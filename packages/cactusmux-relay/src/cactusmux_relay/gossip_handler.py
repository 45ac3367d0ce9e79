"""Builds an instance's gossip messages and handles those of its peers."""

from collections.abc import Callable, Iterable, Mapping

from cactusmux_base import decoding
from cactusmux_base import events

from . import down_targets
from . import gossip_topics
from . import leaving_targets
from . import load_tracker
from . import refused_callers
from . import slow_targets
from . import soft_exchange
from . import store_mirror
from . import target_registry


class GossipHandler:
    """Builds gossip messages and passes on received ones by content."""

    def __init__(
        self,
        name: str,
        is_stopping: Callable[[], bool],
        mirror_by_prefix: Mapping[str, store_mirror.StoreMirror],
        tracker: load_tracker.LoadTracker,
        registry: target_registry.TargetRegistry,
        down: down_targets.DownTargets,
        slow: slow_targets.SlowTargets,
        refused: refused_callers.RefusedCallers,
        topics: Iterable[gossip_topics.GossipTopic] = (),
    ) -> None:
        self._name = name
        self._is_stopping = is_stopping
        self._mirror_by_prefix = mirror_by_prefix
        self._tracker = tracker
        self._registry = registry
        self._down = down
        self._slow_targets = slow
        self._refused = refused
        self._topic_by_name = {each.name: each for each in topics}

    def build_message(self) -> soft_exchange.GossipMessage:
        """Returns the current message to peers."""
        loads = self._tracker.own_loads()
        return soft_exchange.GossipMessage(
            name=self._name,
            is_stopping=self._is_stopping(),
            changed_by_prefix={
                prefix: mirror.last_change.revision
                for prefix, mirror in self._mirror_by_prefix.items()
            },
            era_by_prefix={
                prefix: mirror.last_change.era
                for prefix, mirror in self._mirror_by_prefix.items()
                if mirror.last_change.era
            },
            tokens_by_target={
                target_id: int(tokens)
                for target_id, tokens in loads.tokens_by_target.items()
            },
            requests_by_target=dict(loads.requests_by_target),
            pipe_tokens={
                name: int(rate) for name, rate in loads.pipe_tokens.items()
            },
            down=sorted(self._down.ids),
            pace_by_target=self._slow_targets.own_slow_targets(),
            refused=self._refused.own_refusals(),
            leaving=self._registry.leaving(),
            data_by_topic=self._encode_topics(),
        )

    def _encode_topics(self) -> dict[str, bytes]:
        data_by_topic = {
            name: topic.own() for name, topic in self._topic_by_name.items()
        }
        return {name: data for name, data in data_by_topic.items() if data}

    def handle_message(self, message: soft_exchange.GossipMessage) -> None:
        """Applies a peer's message about loads and targets."""
        self._tracker.record_peer_loads(
            message.name,
            load_tracker.InstanceLoads(
                message.tokens_by_target,
                message.requests_by_target,
                message.pipe_tokens,
            ),
        )
        self._slow_targets.record_peer_report(message.pace_by_target)
        self._refused.record_peer_refusals(message.refused)
        for start in message.leaving:
            self._registry.record_leaving(start, leaving_targets.Source.PEER)
        for target_id in message.down:
            target = self._registry.target_by_id.get(target_id)
            if target is not None:
                self._down.record_peer_report(target)
        self._handle_topics(message)

    def _handle_topics(self, message: soft_exchange.GossipMessage) -> None:
        for name, data in message.data_by_topic.items():
            topic = self._topic_by_name.get(name)
            if topic is None:
                continue
            try:
                topic.take(message.name, data)
            except decoding.Unreadable as error:
                events.warning(
                    'news_topic_unreadable',
                    topic=name,
                    sender=message.name,
                    cause=str(error),
                )
            except Exception as error:
                # The other topics of the message still apply.
                events.error(
                    'news_topic_failed',
                    topic=name,
                    sender=message.name,
                    cause=repr(error),
                )
