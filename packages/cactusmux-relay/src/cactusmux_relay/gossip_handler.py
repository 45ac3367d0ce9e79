"""What an instance tells the others of its work, and takes of theirs."""

from collections.abc import Callable, Iterable, Mapping

from cactusmux_base import events
import msgspec

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
    """Makes our news, and hands those of others on to who needs them."""

    def __init__(
        self,
        name: str,
        is_stopping: Callable[[], bool],
        mirror_by_prefix: Mapping[str, store_mirror.StoreMirror],
        ledger: load_tracker.LoadTracker,
        book: target_registry.TargetRegistry,
        down: down_targets.DownTargets,
        paces: slow_targets.SlowTargets,
        refused: refused_callers.RefusedCallers,
        topics: Iterable[gossip_topics.GossipTopic] = (),
    ) -> None:
        self._name = name
        self._is_stopping = is_stopping
        self._mirror_by_prefix = mirror_by_prefix
        self._ledger = ledger
        self._book = book
        self._down = down
        self._paces = paces
        self._refused = refused
        self._topic_by_name = {each.name: each for each in topics}

    def build_message(self) -> soft_exchange.GossipMessage:
        """Returns what the others are to know now."""
        loads = self._ledger.own_loads()
        return soft_exchange.GossipMessage(
            name=self._name,
            is_stopping=self._is_stopping(),
            changed_by_prefix={
                prefix: mirror.last_change_revision
                for prefix, mirror in self._mirror_by_prefix.items()
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
            pace_by_target=self._paces.own(),
            refused=self._refused.own(),
            leaving=self._book.leaving(),
            data_by_topic=self._own_topics(),
        )

    def _own_topics(self) -> dict[str, bytes]:
        data_by_topic = {
            name: topic.own() for name, topic in self._topic_by_name.items()
        }
        return {name: data for name, data in data_by_topic.items() if data}

    def handle_message(self, news: soft_exchange.GossipMessage) -> None:
        """Takes what another instance knows of loads and targets."""
        self._ledger.note_peer(
            news.name,
            load_tracker.InstanceLoads(
                news.tokens_by_target,
                news.requests_by_target,
                news.pipe_tokens,
            ),
        )
        self._paces.note_told(news.pace_by_target)
        self._refused.note_told(news.refused)
        for start in news.leaving:
            self._book.note_leaving(start, leaving_targets.Source.PEER)
        for target_id in news.down:
            target = self._book.target_by_id.get(target_id)
            if target is not None:
                self._down.note_peer_report(target)
        self._take_topics(news)

    def _take_topics(self, news: soft_exchange.GossipMessage) -> None:
        for name, data in news.data_by_topic.items():
            topic = self._topic_by_name.get(name)
            if topic is None:
                continue
            try:
                topic.take(news.name, data)
            except msgspec.MsgspecError as error:
                events.warning(
                    'news_topic_unreadable',
                    topic=name,
                    sender=news.name,
                    cause=str(error),
                )
