Feature: tasks folded from the log

  Scenario: concurrent, paused and repeated placers never run a task twice
    Then in generated task histories no two attempts of a task are ever live
    And folding generated task histories twice has the same effect as folding them once

  Scenario: a task is placed again only after its lease and a margin have passed
    Given a task placed at 1000 ms under a lease of 5000 ms
    When its lease is renewed at 4000 ms
    Then ending its attempt as lapsed is refused at 9999 ms
    And ending its attempt as lapsed is accepted at 10000 ms
    And it can be placed again only afterwards

  Scenario: a lease that has ended is not renewed
    Given a task placed at 1000 ms under a lease of 5000 ms
    Then its lease cannot be renewed at 6000 ms

  Scenario: concurrent placers never allocate the same capacity twice
    Given two tasks placed on one worker by two placers that have read to the same offset
    Then the second placement is refused as outdated

  Scenario: repeated cancellations free capacity exactly once
    Given 300 tasks of which 100 were placed
    When every task is cancelled three times
    Then 200 tasks have finished and 100 keep capacity until their attempts end
    And each attempt that ends frees its capacity once

  Scenario: a submission repeated after its task has finished runs nothing
    Given a task that was done
    Then its submission is refused as a duplicate

  Scenario: a task takes little memory
    Then 5000 placed tasks take less than 1200 bytes each
