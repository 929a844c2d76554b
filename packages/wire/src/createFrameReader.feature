Feature: createFrameReader decodes a byte stream into frames

    Scenario: Frames are decoded completely and in order, however the bytes are split
        Then the frame reader decodes what encodeFrame wrote, split anywhere

    Scenario: Arbitrary bytes result in frames or in the error frame_invalid
        Then the frame reader accepts any bytes

    Scenario: An oversized frame is rejected as soon as its length is read
        Then the frame reader with a limit of 100 bytes rejects a frame of 101 bytes
