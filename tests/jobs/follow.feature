Feature: a topic is followed by two clients at once

  Scenario: reads beside the follower's own neither skip, repeat nor reorder records of a key
    Then generated reads, appends, deletions and expiries leave the copy equal to the topic

  Scenario: a read up to the end of the topic succeeds only once all records before it are delivered
    Then generated reads up to the end report success only with every earlier record delivered
