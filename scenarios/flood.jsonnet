// One to three groups get much more traffic, which consists of real first tries and not of retries.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=18, load=0.5, length=50, sets=1, part=[0.1, 0.25]) {
  title: 'A flood on a few sets',
  about: |||
    One to three sets draw much more traffic: real first tries, and no storm.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{ at_s: 10, for_s: [5, 25], flood: { sets: sets, part: part } }],
  },
}
