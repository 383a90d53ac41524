"""Reserve the networks of test fleets."""

from baobabwharf_testkit.loopback_networks import reserve_network
from behave import given, then
from behave.runner import Context


@given('a run that has reserved the first of {count:d} networks')
def reserved(context: Context, count: int) -> None:
    context.prefixes = [f'127.251.{number}' for number in range(count)]
    context.first = reserve_network(context.prefixes)
    context.add_cleanup(context.first.release)


@then('other runs get the other {count:d} networks, and a third one gets none')
def others(context: Context, count: int) -> None:
    found = [reserve_network(context.prefixes) for _run in range(count)]
    for network in found:
        context.add_cleanup(network.release)
    prefixes = {network.prefix for network in (context.first, *found)}
    assert len(prefixes) == count + 1, prefixes
    try:
        reserve_network(context.prefixes)
    except RuntimeError:
        return
    raise AssertionError('A network was reserved twice.')


@then('the first network is free again after its run')
def free_again(context: Context) -> None:
    context.first.release()
    again = reserve_network(context.prefixes)
    context.add_cleanup(again.release)
    assert again.prefix == context.prefixes[0]
