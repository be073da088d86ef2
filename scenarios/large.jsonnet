// A large fleet: measures the cost of the testbed and of its gateways.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=48, hosts=300, rate=10000, length=10) {
  title: 'A large fleet',
  about: |||
    A large fleet: what the laboratory costs, and the gateways with it.
  |||,
  world: deployment.sized(gateways, hosts, 0.5, length) + {
    traffic: { requests_per_s: rate },
  },
}
