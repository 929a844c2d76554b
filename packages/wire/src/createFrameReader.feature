Feature: createFrameReader turns bytes into frames

    Scenario: Frames come whole and in order, however the bytes are split
        Then framereader gives back what encodeFrame wrote, split anywhere

    Scenario: Any bytes give frames or frame_invalid
        Then framereader takes any bytes

    Scenario: A frame over the limit is refused by its length alone
        Then framereader with a limit of 100 bytes refuses a frame of 101
