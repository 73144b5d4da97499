"""Seeds whose runs take too long for each CI run; the feature has the others."""

from features.wire.found_seed import FoundSeed

FOUND_SEEDS = (
    FoundSeed(2, 25, "the crashed primary returns meanwhile"),
    FoundSeed(4, 17, "the primary leaves and one instance is cut"),
    FoundSeed(9, 25, "one instance is split from the others"),
    FoundSeed(10, 25, "one instance is split from the others"),
    FoundSeed(14, 25, "writes stall and the demotion is lost"),
    FoundSeed(15, 25, "the primary leaves"),
    FoundSeed(16, 25, "one instance is split from the others"),
    FoundSeed(20, 25, "promotion calls are executed late"),
    FoundSeed(23, 25, "the demotion through peers is not answered"),
    FoundSeed(25, 25, "the demotion through peers is not answered"),
    FoundSeed(33, 19, "writes stall and the demotion is lost"),
    FoundSeed(34, 25, "writes stall while replicas are paused"),
    FoundSeed(36, 25, "the demotion through peers is not answered"),
    FoundSeed(37, 25, "writes stall while replicas are paused"),
    FoundSeed(35, 25, "an earlier request forbids the demotion"),
    FoundSeed(46, 25, "the demotion through peers is not answered"),
    FoundSeed(49, 25, "the demotion through peers is not answered"),
    FoundSeed(111, 25, "a replica has no entry during a split", "listing"),
    FoundSeed(102, 25, "the requested replica loses its log", "lost-requested-logs"),
)
