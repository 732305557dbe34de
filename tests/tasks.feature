Feature: tasks folded from the log

  Scenario: racing, paused and repeated placers never run a task twice
    Then in generated task histories no two attempts of a task are ever live
    And folding generated task histories twice has the effect of folding them once

  Scenario: a lapsed lease is waited out
    Given a task placed at 1000 ms under a lease of 5000 ms
    When its lease is renewed at 4000 ms
    Then its attempt cannot be called lapsed at 9999 ms
    And its attempt can be called lapsed at 10000 ms
    And it can be placed again only afterwards

  Scenario: a lease that has ended is not renewed
    Given a task placed at 1000 ms under a lease of 5000 ms
    Then its lease cannot be renewed at 6000 ms

  Scenario: the same room is not filled twice by racing placers
    Given two tasks that two placers put on one worker from the same offset
    Then the second placement is refused as outdated

  Scenario: a wave of cancellations frees room once
    Given 300 tasks of which 100 were placed
    When every task is cancelled three times
    Then 200 tasks are over and 100 hold their room until their attempts end
    And each attempt that ends frees its room once

  Scenario: a submission sent again after its task is over runs nothing
    Given a task that was done
    Then its submission is refused as a duplicate

  Scenario: a task takes little memory
    Then 5000 placed tasks take less than 1200 bytes each
