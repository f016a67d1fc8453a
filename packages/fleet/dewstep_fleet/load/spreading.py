"""Spreads the requests of all instances over targets whose loads are known from totals.

All instances have the same totals, which are up to a quarter of a second old. If each
of them sent to the target with the lowest cost, all would send to the same few targets
until the next totals. An instance therefore estimates how many requests have ended and
begun since the totals were counted. It places the new ones one after another at the
lowest cost, and chooses at random among the places that are filled in this way
(Dahlin, "Interpreting stale load information", 1999). With fresh totals or few
requests, this is the target with the lowest cost.
"""

import heapq
import random
import statistics
from collections.abc import Sequence
from typing import NamedTuple

from dewstep_fleet import load_counts, model

TIE_VARIATION = 0.1
"""Random variation of the service time, so that instances without any totals do not
choose the same one of several equal targets."""


class Offer(NamedTuple):
    """A target that may receive the request."""

    target: model.Target
    estimate: load_counts.Estimate
    success: float
    """Fraction of requests that succeed, above 0."""
    penalty: float
    """Cost in seconds apart from the expected completion time."""
    remote: bool
    """Whether it is in another data centre than this instance."""


def count_ended(estimate: load_counts.Estimate, slots: int) -> float:
    """Return how many requests of others have probably ended since the totals."""
    if not estimate.age or estimate.turn <= 0:
        return 0.0
    share = estimate.others / max(1, estimate.running)
    running = min(estimate.running, slots) * share
    return min(estimate.others, running * estimate.age / estimate.turn)


def compute_place_cost(
    offer: Offer, load: float, usual: float, variation: float
) -> float:
    """Return the cost of one more request at a target, in seconds.

    Parameters
    ----------
    offer : Offer
    load : float
        Requests at the target.
    usual : float
        Service time in seconds at a target of this data centre.
    variation : float
        Factor of the service time.
    """
    slots = max(1, offer.target.slots)
    estimate = offer.estimate
    wait = max(0.0, load - slots + 1) * estimate.turn / slots
    if offer.remote:
        # A free slot of this data centre is preferred to one elsewhere. A fast target
        # there is left to the instances there, for which it costs no traffic.
        service = max(estimate.service, usual)
        crowding = max(estimate.turn, usual)
    else:
        # The more slots are in use, the more likely it is that none is free, since
        # requests arrive at random.
        service = estimate.service
        crowding = min(1.0, load / slots) * estimate.turn
    completion = wait + crowding + service * variation
    return completion / offer.success + offer.penalty


def choose_offer(offers: Sequence[Offer], generator: random.Random) -> Offer | None:
    """Return the offer to accept, or None without offers.

    Parameters
    ----------
    offers : sequence of Offer
    generator : random.Random
    """
    if not offers:
        return None
    home = [offer for offer in offers if not offer.remote] or offers
    ended = {
        offer.target.name: count_ended(offer.estimate, offer.target.slots)
        for offer in offers
    }
    # About as many requests have begun as have ended, in each data centre alike.
    data_centres = len({offer.target.data_centre for offer in offers})
    arrivals = max(
        sum(ended[offer.target.name] for offer in home),
        sum(ended.values()) / data_centres,
    )
    if any(
        offer.estimate.age is not None
        and offer.estimate.age > load_counts.MAX_TOTALS_AGE.total_seconds()
        for offer in home
    ):
        # Nothing is known of the other instances. Half of the slots may be in use.
        arrivals = sum(offer.target.slots for offer in home) / 2
    home_names = {offer.target.name for offer in home}
    usual = statistics.median(offer.estimate.service for offer in home)
    places = []
    for index, offer in enumerate(offers):
        load = float(offer.estimate.running)
        if offer.target.name in home_names:
            # Elsewhere, the instances of that data centre send as many again.
            load -= ended[offer.target.name]
        variation = 1 + TIE_VARIATION * generator.random()
        cost = compute_place_cost(offer, load, usual, variation)
        places.append((cost, index, load, variation))
    heapq.heapify(places)
    chosen = places[0][1]
    remaining = arrivals
    filled = 0.0
    while True:
        cost, index, load, variation = places[0]
        part = min(1.0, remaining) if filled else 1.0
        filled += part
        # Chooses each place with a probability in proportion to its part.
        if generator.random() * filled < part:
            chosen = index
        remaining = arrivals + 1 - filled
        if remaining <= 0:
            return offers[chosen]
        load += 1
        cost = compute_place_cost(offers[index], load, usual, variation)
        heapq.heapreplace(places, (cost, index, load, variation))
