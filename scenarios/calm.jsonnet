// No faults: measures the cost of routing when nothing fails.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.55, length=40) {
  title: 'A calm evening',
  about: |||
    No trouble at all: what routing costs when nothing goes wrong.
  |||,
  world: deployment.sized(gateways, hosts, load, length),
}
