Feature: moves of VMs between pools, and the demand that sizes pools

  Scenario: a pool short of VMs takes VMs that are off, then idle VMs of other pools
    Given pools "a" that needs 4 of 2 VMs, "b" that needs 1 of 3 VMs and 1 VM that is off
    Then the moves to "a" are the VM that is off and one idle VM of "b"

  Scenario: VMs that are joining a pool are counted
    Given pools "a" that needs 4 of 2 VMs, "b" that needs 1 of 3 VMs and 1 VM that is off
    When the moves are ordered
    Then no more moves are planned

  Scenario: idle VMs are switched off after a timeout, but each pool keeps two
    Given pools "a" that needs 0 of 4 VMs, "b" that needs 2 of 2 VMs and 0 VM that is off
    Then no more moves are planned
    When 4 s have passed
    Then 2 VMs of "a" are switched off

  Scenario: a VM with runs is never moved
    Given pools "a" that needs 9 of 2 VMs, "b" that needs 0 of 3 VMs and 0 VM that is off
    When every VM of "b" has runs
    Then no more moves are planned

  Scenario: a VM due for upkeep is not moved
    Given pools "a" that needs 3 of 2 VMs, "b" that needs 1 of 1 VMs and 1 VM that is off
    When the VM that is off is due for upkeep
    Then no more moves are planned

  Scenario: a refused move is retried only after a delay
    Given pools "a" that needs 3 of 2 VMs, "b" that needs 1 of 1 VMs and 1 VM that is off
    When the moves are refused
    Then no more moves are planned
    When 6 s have passed
    Then 1 moves are planned

  Scenario: a burst raises the demand within a second, and the demand falls soon after it
    Given work of 16 core-seconds arrives in each of 6 steps of 250 ms
    Then the demand is 64 cores at its end
    And the demand is 0 cores 2 s later

  Scenario: the first steps of a burst raise the demand in full
    Given work of 16 core-seconds arrives in each of 2 steps of 250 ms
    Then the demand is 64 cores at its end
