"""Account limits of one entry host; borrows and lends rate tokens between hosts."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

import gevent
from returns.result import Result
from returns.result import Success

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.control_loop import ControlLoop
from gypsumfield.control_loop import PeerUnavailable
from gypsumfield.decisions.borrowing import BorrowingStep
from gypsumfield.decisions.borrowing import LoanAnswer
from gypsumfield.decisions.borrowing import RequestLoans
from gypsumfield.decisions.borrowing import take_token
from gypsumfield.decisions.ownership import HOLD_DOWN_MS
from gypsumfield.decisions.quotas import holders_of
from gypsumfield.decisions.quotas import QuotaLedger
from gypsumfield.decisions.quotas import QuotaView
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.decisions.token_pools import AccountPool
from gypsumfield.decisions.token_pools import Loan
from gypsumfield.decisions.token_pools import LoanRequest
from gypsumfield.events import ShareMoved
from gypsumfield.interfaces import EmitEvent
from gypsumfield.interfaces import QuotaDecision
from gypsumfield.interfaces import QuotaLimiter
from gypsumfield.messages import TokenRequest
from gypsumfield.messages import TokenTransfer

TICK_INTERVAL_MS = 250.0
UNKNOWN_ACCOUNT_RETRY_MS = 1_000.0

ReadView = Callable[[], QuotaView]
ReadLimits = Callable[[], Mapping[str, AccountLimit]]
ReadHosts = Callable[[], Mapping[str, frozenset[str]]]


class QuotaSources(NamedTuple):
    """Functions that the quota service calls at every tick and request.

    Attributes:
        read_view: Returns the zones and the entry hosts of this host's zone.
        read_limits: Returns rate and burst by account, from the configuration.
        read_hosts: Returns the live entry hosts by zone, to borrow from.
    """

    read_view: ReadView
    read_limits: ReadLimits
    read_hosts: ReadHosts


class QuotaService:
    """Takes, borrows and lends rate tokens of all accounts on one entry host.

    Args:
        loop: Control loop of this host.
        clock: Monotonic clock.
        sources: Functions that read membership and configuration.
        emit: Writes an event to the log.
        hold_down_ms: Time that this host waits before its share grows.
    """

    def __init__(
        self,
        loop: ControlLoop,
        clock: Clock,
        sources: QuotaSources,
        emit: EmitEvent,
        hold_down_ms: float = HOLD_DOWN_MS,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._sources = sources
        self._emit = emit
        self._ledger = QuotaLedger(loop.host_id, clock.monotonic_ms(), hold_down_ms)
        self._zone = ""
        self._hosts_by_zone: Mapping[str, frozenset[str]] = {}
        self._lenders: dict[str, tuple[str, ...]] = {}
        self._request_count = 0

    def start(self) -> None:
        """Register the handler and the tick with the control loop."""
        self._loop.register(TokenRequest, self._handle_token_request)
        self._loop.add_tick(TICK_INTERVAL_MS, self._tick)
        self._tick(self._clock.monotonic_ms())

    def limiter(self) -> QuotaLimiter:
        """Return the functions of this service that request handling uses."""
        return QuotaLimiter(take=self.take, refund=self.refund)

    def take(self, account: str) -> QuotaDecision:
        """Take one token of ``account``; may wait for a loan or for minted tokens."""
        limit = self._sources.read_limits().get(account)
        if limit is None:
            return QuotaDecision(
                is_granted=False,
                retry_after_ms=UNKNOWN_ACCOUNT_RETRY_MS,
                reason="the account is not in the configuration",
            )
        steps = take_token(
            lambda: self._account_pool(account, limit),
            limit,
            self._lenders_of(account),
            self._clock.monotonic_ms,
        )
        answers: tuple[LoanAnswer, ...] | None = None
        while True:
            try:
                step = next(steps) if answers is None else steps.send(answers)
            except StopIteration as stop:
                return stop.value  # type: ignore[no-any-return]
            answers = self._execute_step(account, step)

    def refund(self, account: str, decision: QuotaDecision) -> None:
        """Refund the token of a request that has not run."""
        limit = self._sources.read_limits().get(account)
        if limit is not None:
            self._account_pool(account, limit).refund(decision.token_epoch)

    def retire(self) -> None:
        """Stop minting tokens, because this host is about to stop."""
        self._ledger.retire(self._clock.monotonic_ms())

    def record_release(self, host: str) -> None:
        """Record that another host has retired, as that host itself has confirmed."""
        self._ledger.record_release(host, self._clock.monotonic_ms())

    @property
    def zone_share(self) -> float:
        """Fraction of every account's rate that this host attributes to its zone.

        It is 0 until the hold-down after a start has ended.
        """
        return self._ledger.zone_share

    @property
    def held_tokens(self) -> float:
        """Rate tokens of all accounts that this host holds."""
        now_ms = self._clock.monotonic_ms()
        return self._ledger.held_tokens(self._sources.read_limits(), now_ms)

    def shares(self) -> Mapping[str, float]:
        """Return this host's share of each account's rate, for the status page."""
        now_ms = self._clock.monotonic_ms()
        return {
            account: self._ledger.share_of(account, now_ms)
            for account in self._sources.read_limits()
        }

    def _tick(self, now_ms: float) -> None:
        view = self._sources.read_view()
        self._zone = view.zone
        self._ledger.update(view, self._sources.read_limits(), now_ms)
        hosts = self._sources.read_hosts()
        if hosts != self._hosts_by_zone:
            self._hosts_by_zone = dict(hosts)
            self._lenders.clear()

    def _account_pool(self, account: str, limit: AccountLimit) -> AccountPool:
        return self._ledger.pool_of(account, limit, self._clock.monotonic_ms())

    def _lenders_of(self, account: str) -> tuple[str, ...]:
        lenders = self._lenders.get(account)
        if lenders is None:
            # Without information on token levels, hosts of the local zone come first.
            zones = sorted(
                self._hosts_by_zone, key=lambda zone: (zone != self._zone, zone)
            )
            lenders = tuple(
                host
                for zone in zones
                for host in sorted(holders_of(account, zone, self._hosts_by_zone[zone]))
                if host != self._loop.host_id
            )
            self._lenders[account] = lenders
        return lenders

    def _execute_step(
        self, account: str, step: BorrowingStep
    ) -> tuple[LoanAnswer, ...]:
        if not isinstance(step, RequestLoans):
            gevent.sleep(step.duration_ms / MS_PER_S)
            return ()
        if len(step.loan_requests) == 1:
            return (
                self._request_loan(account, step.loan_requests[0], step.timeout_ms),
            )
        greenlets = [
            gevent.spawn(self._request_loan, account, loan_request, step.timeout_ms)
            for loan_request in step.loan_requests
        ]
        gevent.joinall(greenlets)
        return tuple(greenlet.get() for greenlet in greenlets)

    def _request_loan(
        self, account: str, loan_request: LoanRequest, timeout_ms: float
    ) -> LoanAnswer:
        self._request_count += 1
        request = TokenRequest(
            request_id=f"{self._loop.boot_id}/{self._request_count}",
            account=account,
            token_count=loan_request.tokens,
            held_tokens=loan_request.held_tokens,
            spare_tokens=loan_request.spare_tokens,
        )
        result: Result[TokenTransfer, PeerUnavailable] = self._loop.request(
            loan_request.peer, request, TokenTransfer, timeout_ms
        )
        if not isinstance(result, Success):
            return LoanAnswer(loan_request.peer, None)
        return LoanAnswer(
            loan_request.peer, self._loan_from_transfer(request, result.unwrap())
        )

    def _loan_from_transfer(
        self, request: TokenRequest, transfer: TokenTransfer
    ) -> Loan | None:
        """Return the loan in a transfer; None if it does not answer this request."""
        is_for_this_boot = transfer.receiver_boot_id == self._loop.boot_id
        if not is_for_this_boot or transfer.transfer_id != request.request_id:
            return None
        if transfer.availability_zone == self._zone:
            now_ms = self._clock.monotonic_ms()
            self._ledger.receive_zone_share(transfer.zone_share, now_ms)
        return Loan(
            transfer.token_count,
            transfer.level_tokens,
            transfer.capacity_tokens,
            transfer.mint_per_s,
        )

    def _handle_token_request(
        self, sender: str, request: TokenRequest
    ) -> TokenTransfer:
        loan = self._make_loan(sender, request)
        if loan.tokens > 0.0:
            self._emit(
                ShareMoved(
                    account=request.account,
                    sender=self._loop.host_id,
                    receiver=sender,
                    token_count=loan.tokens,
                )
            )
        return TokenTransfer(
            transfer_id=request.request_id,
            account=request.account,
            token_count=loan.tokens,
            receiver_boot_id=self._loop.boot_id_of(sender),
            level_tokens=loan.level_tokens,
            capacity_tokens=loan.capacity_tokens,
            mint_per_s=loan.mint_per_s,
            availability_zone=self._zone,
            zone_share=self._ledger.zone_share,
        )

    def _make_loan(self, sender: str, request: TokenRequest) -> Loan:
        limit = self._sources.read_limits().get(request.account)
        if limit is None:
            return Loan(0.0, 0.0, 0.0, 0.0)
        now_ms = self._clock.monotonic_ms()
        pool = self._ledger.pool_of(request.account, limit, now_ms)
        loan_request = LoanRequest(
            sender, request.token_count, request.held_tokens, request.spare_tokens
        )
        return pool.lend(loan_request, now_ms)
