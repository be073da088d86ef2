// Discovery is silent while hosts drain and stop answering, and half of the datagrams between gateways are lost.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=4, hosts=12, load=0.5, length=50) {
  title: 'Discovery and datagrams fail',
  about: |||
    Discovery says nothing while hosts drain and fall silent, and half of the datagrams between gateways are lost.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [
      { at_s: 8, for_s: 20, discovery_silent: {} },
      { at_s: 8, for_s: 30, datagrams_lost: { part: 0.5 } },
      { at_s: 12, for_s: 10, silent: { hosts: { count: 1, primaries: 1 } } },
      { at_s: 14, for_s: 10, drain: { hosts: { count: 1, primaries: 0 } } },
    ],
  },
}
