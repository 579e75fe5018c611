"""Weighted split of the requests of a route among several services.

With each request, the current weight of every destination grows by its
configured weight. The destination with the highest current weight is selected,
and that weight is lowered by the sum of the configured weights.

Source: the smooth weighted round-robin of nginx, which keeps to the shares even
over short sequences of requests.
"""

from kumquatridge.settings import routes


class SplitChooser:
    """Selects the destinations of each route in proportion to their weights."""

    def __init__(self) -> None:
        # By route name: the route at the last reset of the weights, and the
        # weights in the order of its destinations.
        self._current_weights: dict[
            str, tuple[routes.CompiledRoute, list[float]]
        ] = {}

    def choose(self, route: routes.CompiledRoute) -> routes.Destination:
        """Returns the destination of the next request of a route."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0]
        current_weights = self._get_current_weights(route)
        total_weight = 0.0
        for index, destination in enumerate(destinations):
            current_weights[index] += destination.weight
            total_weight += destination.weight
        chosen_index = max(
            range(len(current_weights)), key=current_weights.__getitem__
        )
        current_weights[chosen_index] -= total_weight
        return destinations[chosen_index]

    def _get_current_weights(self, route: routes.CompiledRoute) -> list[float]:
        """Returns the current weights, reset to 0 if the shares changed."""
        name = route.route.name
        previous = self._current_weights.get(name)
        if (
            previous is not None
            and previous[0].route.shares == route.route.shares
        ):
            return previous[1]
        current_weights = [0.0] * len(route.destinations)
        self._current_weights[name] = (route, current_weights)
        return current_weights
